package driver

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/telemetry"
)

// Stages of a replacement.
const (
	stageLearner    = "learner"
	stageCatchingUp = "catching_up"
	stagePromoting  = "promoting"
	stageRepaired   = "repaired"
)

// replacement is the progress of a replacement as the leader sees it.
type replacement struct {
	stage string
	// step is the next membership change; nil if there is none to make at the
	// moment.
	step   replica.Change
	match  uint64
	commit uint64
}

// replaceLocal advances a replacement as far as the call's time allows. Its
// stage is derived from the leader's state on each pass, so that the call can
// be repeated, even at another leader.
func (n *Node) replaceLocal(ctx context.Context, args *controlrpc.ReplaceArgs) controlrpc.ReplaceReply {
	newMember, result := n.askIdentity(ctx, args)
	if result.Code != controlrpc.CodeOK {
		return controlrpc.ReplaceReply{Result: result}
	}
	var reply controlrpc.ReplaceReply
	for {
		next, result := n.nextStep(ctx, args, newMember)
		if result.Code != controlrpc.CodeOK {
			return controlrpc.ReplaceReply{Result: result, Stage: next.stage}
		}
		reply.Stage, reply.Match, reply.Commit = next.stage, next.match, next.commit
		if next.stage == stageRepaired {
			reply.Repaired = true
			telemetry.ControlReplicaReplaced.Log(n.logger, zap.String("replica", args.New))
			return reply
		}
		if next.step != nil {
			n.changeMembers(ctx, next.step)
		}
		if !n.waitHeartbeat(ctx) {
			return reply
		}
	}
}

// waitHeartbeat waits for a heartbeat interval, and reports whether the call
// may continue.
func (n *Node) waitHeartbeat(ctx context.Context) bool {
	timer := time.NewTimer(n.cfg.Replication.Heartbeat)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-n.calls.stopping:
	case <-n.stop.Done():
	}
	return false
}

// askIdentity asks the new replica for its incarnation.
func (n *Node) askIdentity(ctx context.Context, args *controlrpc.ReplaceArgs) (replica.Member, controlrpc.Result) {
	var hello HelloReply
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Replication.ElectionTimeout)
	defer cancel()
	err := n.client.Call(ctx, args.Address, methodHello, &HelloArgs{Group: n.cfg.Group}, &hello)
	if err != nil {
		return replica.Member{}, invalidResult(fmt.Sprintf("replica %s does not answer: %v", args.New, err))
	}
	if hello.Identity.ID != args.New {
		detail := fmt.Sprintf("the replica at %s is %s, not %s", args.Address, hello.Identity.ID, args.New)
		return replica.Member{}, invalidResult(detail)
	}
	member := replica.Member{Identity: hello.Identity, Address: args.Address, DataCentre: args.DataCentre, Replaces: args.Old}
	return member, controlrpc.Result{}
}

func (n *Node) nextStep(ctx context.Context, args *controlrpc.ReplaceArgs, newMember replica.Member) (replacement, controlrpc.Result) {
	var next replacement
	result := controlrpc.Result{}
	err := n.inspect(ctx, func(s *replica.State) {
		if s.Role() != replica.RoleLeader {
			result = n.notLeader()
			return
		}
		next, result = planReplacement(s, args.Old, newMember)
	})
	if err != nil {
		result = controlrpc.Result{Code: controlrpc.CodeNoQuorum, Detail: err.Error()}
	}
	return next, result
}

// planReplacement returns the next step of replacing old by newMember.
//
// No voter is added or removed before the new replica, as a learner, holds
// everything committed. If the old voter is alive, it is removed last, so that
// the group never has less redundancy than before. A dead voter is removed
// first: promoting the new replica beside it would make a group of four voters
// with one dead, which stops for good if the new replica is lost before the
// promotion is committed.
func planReplacement(s *replica.State, old string, newMember replica.Member) (replacement, controlrpc.Result) {
	next := replacement{commit: s.Commit()}
	var leaving, joining *replica.MemberProgress
	for _, progress := range s.Members() {
		switch {
		case progress.Member.Identity == newMember.Identity:
			joining = &progress
		case progress.Member.Identity.ID == old:
			leaving = &progress
		}
	}
	if joining == nil && leaving == nil {
		return next, invalidResult(fmt.Sprintf("replica %s is not a member of the group", old))
	}
	if joining != nil && leaving != nil && joining.Member.Replaces != old {
		return next, invalidResult(fmt.Sprintf("replica %s is a member already and does not replace %s", newMember.Identity.ID, old))
	}
	if joining == nil {
		next.stage = stageLearner
		next.step = replica.AddLearner{Member: newMember}
		return next, controlrpc.Result{}
	}
	next.match = joining.Match
	next.plan(s, leaving, *joining)
	return next, controlrpc.Result{}
}

func (r *replacement) plan(s *replica.State, leaving *replica.MemberProgress, joining replica.MemberProgress) {
	_, committed := s.Membership()
	voter := joining.Member.Voter
	caughtUp := joining.Match >= s.Commit() && joining.Active
	switch {
	case !voter && !caughtUp:
		r.stage = stageCatchingUp
	case leaving != nil && (voter || !leaving.Active):
		r.stage = stagePromoting
		r.step = replica.Remove{Identity: leaving.Member.Identity}
	case !voter:
		r.stage = stagePromoting
		r.step = replica.Promote{Identity: joining.Member.Identity}
	case !committed || !caughtUp:
		r.stage = stagePromoting
	default:
		r.stage = stageRepaired
	}
}

// changeMembers makes one membership change and waits for its outcome. After a
// refusal the caller tries again if the change is still the next step.
func (n *Node) changeMembers(ctx context.Context, step replica.Change) proposalResult {
	done := make(chan proposalResult, 1)
	if !n.post(change{id: n.nextID.Add(1), change: step, done: done}) {
		return proposalResult{outcome: outcomeStopped}
	}
	res := n.awaitResult(ctx, done)
	if res.outcome == outcomeApplied {
		telemetry.ControlMembershipCommitted.Log(n.logger, zap.Uint64("index", res.index))
	}
	return res
}
