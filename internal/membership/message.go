package membership

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/api"
)

// MessageKind is the kind of a message.
type MessageKind uint8

// Kinds of messages.
const (
	// KindPing asks the receiver to answer with KindAck.
	KindPing MessageKind = iota + 1
	// KindAck answers a ping, or a digest that has a sequence number and shows no
	// difference. Sequence repeats that of the message it answers; the answer to
	// KindPingFor has the probed member as Subject.
	KindAck
	// KindPingFor asks the receiver to ping the member Subject and to relay its
	// answer.
	KindPingFor
	// KindPush carries records that the sender spreads; the receiver answers
	// with KindPushAck.
	KindPush
	// KindPushAck acknowledges a push or an offer; Known marks the records that
	// the receiver had already.
	KindPushAck
	// KindDigest carries buckets of the sender's digest tree.
	KindDigest
	// KindKeys lists the records in some leaves of the sender's digest tree.
	KindKeys
	// KindWant requests the records named by Wanted.
	KindWant
	// KindRecords carries records that were requested or that the receiver
	// lacks or has in another version; it is not acknowledged.
	KindRecords
	// KindRenew reports a renewal of the target Subject, to an owner or in
	// answer to KindLeaseCheck.
	KindRenew
	// KindLeaseCheck asks whether the receiver knows of a renewal of the target
	// Subject; one that does answers with KindRenew.
	KindLeaseCheck
	// KindOffer names records that the sender spreads; the receiver answers
	// with KindPushAck and is then sent those that it lacks.
	KindOffer
	kindEnd
)

// Kinds lists every kind of message.
func Kinds() []MessageKind {
	kinds := make([]MessageKind, 0, kindEnd-1)
	for k := KindPing; k < kindEnd; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// String returns the kind's name for counters and logs.
func (k MessageKind) String() string {
	names := [...]string{"none", "ping", "ack", "ping_for", "push", "push_ack",
		"digest", "keys", "want", "records", "renew", "lease_check", "offer"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Message is a message between two entry nodes. Each kind uses some of the
// fields.
type Message struct {
	Kind MessageKind
	// From and To are the members' ids. A process that took over another's
	// address must not answer for it.
	From string
	To   string
	// Sequence pairs an answer with its request.
	Sequence uint64
	// Subject is the member or target that the message is about.
	Subject string
	// Members and Targets are the records that the message carries.
	Members []Member       `msgpack:",omitempty"`
	Targets []TargetRecord `msgpack:",omitempty"`
	// Known has a bit for each record of a push or an offer, members first; it is
	// set if the receiver had the record already.
	Known uint64
	// Buckets are buckets of the digest tree.
	Buckets []Bucket `msgpack:",omitempty"`
	// Keys identify records and their versions.
	Keys []Key `msgpack:",omitempty"`
	// Wanted are the hashes of the names of requested records.
	Wanted []uint64 `msgpack:",omitempty"`
	// Incarnation and Version identify the announced state of the target
	// Subject.
	Incarnation uint64
	Version     uint64
	// AgeMS is the age of a renewal in milliseconds.
	AgeMS int64
}

// Bucket is the combined hash of the records in one part of the digest tree.
type Bucket struct {
	Depth uint8
	Index uint16
	Hash  uint64
}

// Key identifies a record by the hash of its name and the hash of its version.
type Key struct {
	Name    uint64
	Version uint64
}

// Encode returns the encoded message. Structs are encoded as arrays, which
// halves their size; therefore new fields may only be added at the end.
func (m Message) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(&m); err != nil {
		return nil, fmt.Errorf("encode %s message: %w", m.Kind, err)
	}
	return buf.Bytes(), nil
}

// DecodeMessage decodes a message and checks its kind.
func DecodeMessage(body []byte) (Message, error) {
	var m Message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return Message{}, fmt.Errorf("decode membership message: %w", err)
	}
	if m.Kind < KindPing || m.Kind >= kindEnd {
		return Message{}, fmt.Errorf("membership message has unknown kind %d", m.Kind)
	}
	return m, nil
}

// refersTo reports whether the message is about the state that a announced.
func (m Message) refersTo(a api.Announcement) bool {
	return m.Incarnation == a.Incarnation && m.Version == a.Sequence
}
