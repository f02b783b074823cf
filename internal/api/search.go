package api

// Headers of the callers' and targets' HTTP interfaces.
const (
	// HeaderRequestID ties every reply to its request.
	HeaderRequestID = "X-Wigeon-Request-Id"
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "X-Wigeon-Deadline-Ms"
	// HeaderIdempotencyKey names a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCaller names the caller, for routing rules and fairness.
	HeaderCaller = "X-Wigeon-Caller"
	// HeaderTargetState carries a target's own state with each of its replies.
	HeaderTargetState = "X-Wigeon-Target-State"
	// HeaderTargetIncarnation carries the incarnation of the target's process
	// with each of its replies.
	HeaderTargetIncarnation = "X-Wigeon-Target-Incarnation"
	// HeaderInFlight carries the number of requests that a target is running.
	HeaderInFlight = "X-Wigeon-In-Flight"
)

// SearchRequest is what a caller posts to /v1/services/{service}/search.
type SearchRequest struct {
	// Query is the text looked for; every word must occur in a record.
	Query string `json:"query"`
	// Limit is the greatest number of hits wanted; 0 means all of them.
	Limit int `json:"limit,omitempty"`
}

// Hit is one record found.
type Hit struct {
	Shard ShardID `json:"shard"`
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

// MissingReason says why a shard is not covered by an answer.
type MissingReason string

// Reasons for a missing shard.
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

// Coverage states which part of the answer's own snapshot was searched.
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
	// NewestVersion is the newest index version that any target has announced,
	// so that a caller can tell whether the answer is current.
	NewestVersion uint64   `json:"newest_version"`
	ConfigVersion uint64   `json:"config_version"`
	Coverage      Coverage `json:"coverage"`
	// TotalHits counts the hits before Limit was applied.
	TotalHits int      `json:"total_hits"`
	Hits      []Hit    `json:"hits"`
	Warnings  []string `json:"warnings,omitempty"`
}

// SubmitRequest is a non-idempotent request: a certificate print or a
// correction, posted to /v1/services/{service}/submit.
type SubmitRequest struct {
	// Kind names the work, such as "certificate" or "correction".
	Kind string `json:"kind"`
	// Subject names the record concerned.
	Subject string `json:"subject"`
	// Payload is handed to the target unchanged.
	Payload string `json:"payload,omitempty"`
}

// SubmitAnswer is the outcome of a non-idempotent request that ran.
type SubmitAnswer struct {
	RequestID string `json:"request_id"`
	Key       string `json:"idempotency_key"`
	Ran       Ran    `json:"ran"`
	// Result is what the target returned.
	Result string `json:"result"`
	// Replayed tells that this is the recorded outcome of an earlier request
	// with the same key.
	Replayed bool `json:"replayed"`
}
