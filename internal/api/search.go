package api

// Headers of the HTTP interfaces of callers and targets.
const (
	// HeaderRequestID identifies the request that a reply belongs to.
	HeaderRequestID = "X-Wigeon-Request-Id"
	// HeaderDeadline is the remaining time for the request, in milliseconds.
	HeaderDeadline = "X-Wigeon-Deadline-Ms"
	// HeaderIdempotencyKey identifies a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCaller is the name of the caller, for routing rules and fairness.
	HeaderCaller = "X-Wigeon-Caller"
	// HeaderTargetState is the target's own state, sent with each reply.
	HeaderTargetState = "X-Wigeon-Target-State"
	// HeaderTargetIncarnation is the incarnation of the target's process, sent with
	// each reply.
	HeaderTargetIncarnation = "X-Wigeon-Target-Incarnation"
	// HeaderInFlight is the number of requests that the target is running.
	HeaderInFlight = "X-Wigeon-In-Flight"
)

// SearchRequest is the body of a POST to /v1/services/{service}/search.
type SearchRequest struct {
	// Query is the text to search for. A record matches if it contains every word.
	Query string `json:"query"`
	// Limit is the maximum number of hits to return; 0 means all.
	Limit int `json:"limit,omitempty"`
}

// Hit is a record that matches a query.
type Hit struct {
	Shard ShardID `json:"shard"`
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

// MissingReason is the reason why an answer does not cover a shard.
type MissingReason string

// Values of MissingReason.
const (
	MissingNoReplica   MissingReason = "no_replica"
	MissingDeadline    MissingReason = "deadline"
	MissingShed        MissingReason = "shed"
	MissingFailed      MissingReason = "failed"
	MissingNoSnapshot  MissingReason = "snapshot_gone"
	MissingExtraBudget MissingReason = "retry_budget"
)

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Shard  ShardID       `json:"shard"`
	Reason MissingReason `json:"reason"`
}

// Coverage states which part of the answer's snapshot was searched.
type Coverage struct {
	Shards   int            `json:"shards"`
	Answered int            `json:"answered"`
	Fraction float64        `json:"fraction"`
	Missing  []MissingShard `json:"missing"`
}

// Whole reports whether every shard of the snapshot was searched.
func (c Coverage) Whole() bool {
	return c.Shards > 0 && c.Answered == c.Shards
}

// SearchAnswer is the answer to a search. All hits come from Snapshot.
type SearchAnswer struct {
	RequestID string   `json:"request_id"`
	Service   string   `json:"service"`
	Snapshot  Snapshot `json:"snapshot"`
	// NewestVersion is the newest index version announced by any target, from
	// which a caller can tell whether the answer is current.
	NewestVersion uint64   `json:"newest_version"`
	ConfigVersion uint64   `json:"config_version"`
	Coverage      Coverage `json:"coverage"`
	// TotalHits is the number of hits before the limit was applied.
	TotalHits int      `json:"total_hits"`
	Hits      []Hit    `json:"hits"`
	Warnings  []string `json:"warnings,omitempty"`
}

// SubmitRequest is a non-idempotent request, such as a certificate print or a
// correction. It is the body of a POST to /v1/services/{service}/submit.
type SubmitRequest struct {
	// Kind is the kind of work, such as "certificate" or "correction".
	Kind string `json:"kind"`
	// Subject identifies the record concerned.
	Subject string `json:"subject"`
	// Payload is passed to the target unchanged.
	Payload string `json:"payload,omitempty"`
}

// SubmitAnswer is the outcome of a non-idempotent request that ran.
type SubmitAnswer struct {
	RequestID string `json:"request_id"`
	Key       string `json:"idempotency_key"`
	Ran       Ran    `json:"ran"`
	// Result is what the target returned.
	Result string `json:"result"`
	// Replayed reports that this is the recorded outcome of an earlier request
	// with the same key.
	Replayed bool `json:"replayed"`
}
