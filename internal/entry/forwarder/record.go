package forwarder

import (
	"go.uber.org/zap/zapcore"

	"wigeonbay/internal/entry/forward"
)

// sendRecords writes those of a request's attempts that keep names into its log
// line.
type sendRecords struct {
	sends []forward.SendRecord
	keep  func(*forward.SendRecord) bool
}

func anySend(*forward.SendRecord) bool { return true }

func notOrdinary(r *forward.SendRecord) bool { return !r.ImmediateSuccess() }

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (s sendRecords) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range s.sends {
		if !s.keep(&s.sends[i]) {
			continue
		}
		if err := enc.AppendObject((*sendRecord)(&s.sends[i])); err != nil {
			return err
		}
	}
	return nil
}

// targetNames writes the targets that answered at once.
type targetNames []forward.SendRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (s targetNames) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range s {
		if s[i].ImmediateSuccess() {
			enc.AppendString(string(s[i].Target))
		}
	}
	return nil
}

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
