package driver

import (
	"context"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
)

// status fills in this replica's own view of the group.
func (n *Node) status(ctx context.Context, reply *controlrpc.StatusReply) error {
	err := n.inspect(ctx, func(s *replica.State) { n.fillStatus(s, reply) })
	if err != nil {
		return err
	}
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	reply.Version = n.machine.Version()
	reply.Claims = n.machine.Claims()
	return nil
}

func (n *Node) fillStatus(s *replica.State, reply *controlrpc.StatusReply) {
	reply.ID = n.self.ID
	reply.Incarnation = n.self.Incarnation
	reply.State = n.stateName(s)
	reply.Term = s.Term()
	reply.Leader = s.Leader().ID
	reply.LastIndex = s.LastIndex()
	reply.Commit = s.Commit()
	reply.Applied = s.AppliedIndex()
	reply.QuorumAgeMS = n.quorumAgeMS()
	reply.LogBytes = n.log.Bytes()
	for _, progress := range s.Members() {
		reply.Members = append(reply.Members, memberStatus(progress))
	}
}

func (n *Node) stateName(s *replica.State) string {
	members, _ := s.Membership()
	if !members.IsVoter(n.self) && s.Role() != replica.RoleLeader {
		return string(controlrpc.RoleLearner)
	}
	return s.Role().String()
}

func memberStatus(progress replica.MemberProgress) controlrpc.Member {
	role := controlrpc.RoleLearner
	if progress.Member.Voter {
		role = controlrpc.RoleVoter
	}
	return controlrpc.Member{
		ID:          progress.Member.Identity.ID,
		Incarnation: progress.Member.Identity.Incarnation,
		Address:     progress.Member.Address,
		DataCentre:  progress.Member.DataCentre,
		Role:        role,
		MatchIndex:  progress.Match,
		LastHeardMS: progress.SinceReplyMS,
	}
}
