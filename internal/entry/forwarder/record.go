package forwarder

import (
	"go.uber.org/zap/zapcore"

	"wigeonbay/internal/entry/forward"
)

// sendRecords logs those of a request's attempts for which include returns true.
type sendRecords struct {
	sends   []forward.SendRecord
	include func(*forward.SendRecord) bool
}

func everySend(*forward.SendRecord) bool { return true }

func notImmediateSuccess(r *forward.SendRecord) bool { return !r.ImmediateSuccess() }

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (s sendRecords) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range s.sends {
		if !s.include(&s.sends[i]) {
			continue
		}
		if err := enc.AppendObject((*sendRecord)(&s.sends[i])); err != nil {
			return err
		}
	}
	return nil
}

// immediateTargets logs the names of the targets whose attempts were immediate
// successes.
type immediateTargets []forward.SendRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (s immediateTargets) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range s {
		if s[i].ImmediateSuccess() {
			enc.AppendString(string(s[i].Target))
		}
	}
	return nil
}

// sendRecord logs one attempt.
type sendRecord forward.SendRecord

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r *sendRecord) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("pool", r.Pool)
	enc.AddString("target", string(r.Target))
	enc.AddDuration("after", r.After)
	enc.AddDuration("took", r.Took)
	enc.AddString("outcome", r.Outcome)
	if r.Cause != "" {
		enc.AddString("cause", r.Cause)
	}
	if r.Status != 0 {
		enc.AddInt("status", r.Status)
	}
	if r.Hedge {
		enc.AddBool("hedge", true)
	}
	return nil
}

// peerRecords logs how peers were asked.
type peerRecords []forward.PeerRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (r peerRecords) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range r {
		if err := enc.AppendObject((*peerRecord)(&r[i])); err != nil {
			return err
		}
	}
	return nil
}

// peerRecord logs one delegation.
type peerRecord forward.PeerRecord

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r *peerRecord) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("node", r.Node)
	enc.AddDuration("after", r.After)
	enc.AddDuration("took", r.Took)
	enc.AddString("outcome", r.Outcome)
	if r.Reason != "" {
		enc.AddString("reason", string(r.Reason))
	}
	return nil
}
