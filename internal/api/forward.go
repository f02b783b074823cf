package api

// ForwardHeaders names the headers of forwarded requests and replies, which
// callers and targets agree on.
type ForwardHeaders struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// Deadline is the time in milliseconds that the sender will still wait.
	Deadline string
	// Signature is a target's signature of its reply.
	Signature string
	// ExpectTarget names the only target that may run the request.
	ExpectTarget string
	// Load is a target's report: running requests, waiting requests and slots,
	// separated by commas.
	Load string
	// NotRun is present when the target did not run the request.
	NotRun string
	// PartSignatures lists the signatures of the parts of a gather's answer.
	PartSignatures string
	// MissingParts is the number of shards that the answer lacks.
	MissingParts string
}
