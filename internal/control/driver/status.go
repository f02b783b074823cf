package driver

import (
	"context"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
)

// status fills in this replica's own view.
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
	for _, known := range s.Members() {
		reply.Members = append(reply.Members, memberOf(known))
	}
}

func (n *Node) stateName(s *replica.State) string {
	members, _ := s.Membership()
	if !members.IsVoter(n.self) && s.Role() != replica.RoleLeader {
		return string(controlrpc.RoleLearner)
	}
	return s.Role().String()
}

func memberOf(known replica.MemberProgress) controlrpc.Member {
	role := controlrpc.RoleLearner
	if known.Member.Voter {
		role = controlrpc.RoleVoter
	}
	return controlrpc.Member{
		ID:          known.Member.Identity.ID,
		Incarnation: known.Member.Identity.Incarnation,
		Address:     known.Member.Address,
		DataCentre:  known.Member.DataCentre,
		Role:        role,
		MatchIndex:  known.Match,
		LastHeardMS: known.SinceReplyMS,
	}
}
