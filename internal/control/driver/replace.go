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

// replacement is what the leader sees of a replacement.
type replacement struct {
	stage string
	// step is the next change, nil when there is only waiting to do.
	step   replica.Change
	match  uint64
	commit uint64
}

// replaceHere drives a replacement as far as the call's time allows. Where it
// stands is read from the membership alone, so that the call can be repeated,
// at another leader too.
func (n *Node) replaceHere(ctx context.Context, args *controlrpc.ReplaceArgs) controlrpc.ReplaceReply {
	fresh, result := n.newcomer(ctx, args)
	if result.Code != controlrpc.CodeOK {
		return controlrpc.ReplaceReply{Result: result}
	}
	var reply controlrpc.ReplaceReply
	for {
		next, result := n.nextStep(ctx, args, fresh)
		if result.Code != controlrpc.CodeOK {
			return controlrpc.ReplaceReply{Result: result, Stage: next.stage}
		}
		reply.Stage, reply.Match, reply.Commit = next.stage, next.match, next.commit
		if next.stage == stageRepaired {
			reply.Repaired = true
			telemetry.ControlRepaired.Log(n.logger, zap.String("replica", args.New))
			return reply
		}
		if next.step != nil {
			n.changeMembers(ctx, next.step)
		}
		if !n.pause(ctx) {
			return reply
		}
	}
}

// pause waits a moment, and reports whether the call has time left.
func (n *Node) pause(ctx context.Context) bool {
	timer := time.NewTimer(n.set.Replication.Heartbeat)
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

// newcomer asks the new replica for its incarnation.
func (n *Node) newcomer(ctx context.Context, args *controlrpc.ReplaceArgs) (replica.Member, controlrpc.Result) {
	var hello HelloReply
	ctx, cancel := context.WithTimeout(ctx, n.set.Replication.ElectionTimeout)
	defer cancel()
	err := n.client.Call(ctx, args.Address, methodHello, &HelloArgs{Group: n.set.Group}, &hello)
	if err != nil {
		return replica.Member{}, invalid(fmt.Sprintf("replica %s does not answer: %v", args.New, err))
	}
	if hello.Identity.ID != args.New {
		detail := fmt.Sprintf("the replica at %s is %s, not %s", args.Address, hello.Identity.ID, args.New)
		return replica.Member{}, invalid(detail)
	}
	member := replica.Member{Identity: hello.Identity, Address: args.Address, DataCentre: args.DataCentre, Replaces: args.Old}
	return member, controlrpc.Result{}
}

func (n *Node) nextStep(ctx context.Context, args *controlrpc.ReplaceArgs, fresh replica.Member) (replacement, controlrpc.Result) {
	var next replacement
	result := controlrpc.Result{}
	err := n.inspect(ctx, func(s *replica.State) {
		if s.Role() != replica.RoleLeader {
			result = n.notLeader()
			return
		}
		next, result = planReplacement(s, args.Old, fresh)
	})
	if err != nil {
		result = controlrpc.Result{Code: controlrpc.CodeNoQuorum, Detail: err.Error()}
	}
	return next, result
}

// planReplacement finds the next step towards fresh in place of old.
//
// No voter changes before the learner holds everything committed. Then a live
// old voter goes last, so that the group never has less redundancy than
// before. A dead one goes first: promoting beside it would make a group of
// four with one dead, which stops for good if the new replica is lost before
// the promotion is committed.
func planReplacement(s *replica.State, old string, fresh replica.Member) (replacement, controlrpc.Result) {
	next := replacement{commit: s.Commit()}
	var leaving, joining *replica.MemberProgress
	for _, known := range s.Members() {
		switch {
		case known.Member.Identity == fresh.Identity:
			joining = &known
		case known.Member.Identity.ID == old:
			leaving = &known
		}
	}
	if joining == nil && leaving == nil {
		return next, invalid(fmt.Sprintf("replica %s is not a member of the group", old))
	}
	if joining != nil && leaving != nil && joining.Member.Replaces != old {
		return next, invalid(fmt.Sprintf("replica %s is a member already and does not replace %s", fresh.Identity.ID, old))
	}
	if joining == nil {
		next.stage = stageLearner
		next.step = replica.AddLearner{Member: fresh}
		return next, controlrpc.Result{}
	}
	next.match = joining.Match
	next.plan(s, leaving, *joining)
	return next, controlrpc.Result{}
}

func (r *replacement) plan(s *replica.State, leaving *replica.MemberProgress, joining replica.MemberProgress) {
	_, committed := s.Membership()
	voter := joining.Member.Voter
	holds := joining.Match >= s.Commit() && joining.Active
	switch {
	case !voter && !holds:
		r.stage = stageCatchingUp
	case leaving != nil && (voter || !leaving.Active):
		r.stage = stagePromoting
		r.step = replica.Remove{Identity: leaving.Member.Identity}
	case !voter:
		r.stage = stagePromoting
		r.step = replica.Promote{Identity: joining.Member.Identity}
	case !committed || !holds:
		r.stage = stagePromoting
	default:
		r.stage = stageRepaired
	}
}

// changeMembers makes one change and waits for its end. A refused change is
// tried again by the caller, if it is still the next step then.
func (n *Node) changeMembers(ctx context.Context, step replica.Change) decided {
	done := make(chan decided, 1)
	if !n.post(change{id: n.nextID.Add(1), change: step, done: done}) {
		return decided{fate: fateStopped}
	}
	d := n.await(ctx, done)
	if d.fate == fateApplied {
		telemetry.ControlMembership.Log(n.logger, zap.Uint64("index", d.index))
	}
	return d
}
