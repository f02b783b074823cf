package api

// ForwardHeaders holds the names of the headers of forwarded requests and their
// replies, as callers and targets define them.
type ForwardHeaders struct {
	// RequestID identifies an attempt of a caller; targets echo it.
	RequestID string
	// Deadline is the remaining time that the sender will wait, in milliseconds.
	Deadline string
	// Signature is the target's signature of its reply.
	Signature string
	// ExpectTarget is the ID of the only target that may run the request.
	ExpectTarget string
	// TargetID is the ID of the target that answers a health check.
	TargetID string
	// Load is the load that a target reports: running requests, queued requests
	// and slots, separated by commas, and optionally the current service time in
	// percent of the usual one.
	Load string
	// NotRun is present if the target did not run the request.
	NotRun string
	// Leaving is "1" in every reply of a target that leaves. The target should get no
	// new requests, whatever it or a control process announces.
	Leaving string
	// RetryAfter is the time in seconds for which a target that did not run a request
	// should get none from this node. Fractions are allowed.
	RetryAfter string
	// RateLimit is the number of requests per second, a decimal number, that a target
	// takes from all nodes together. It is in every reply of the target while it holds.
	RateLimit string
	// Warmup is the time in milliseconds for which a target is still cold, in its replies to
	// health checks. Cold targets take few requests.
	Warmup string
	// PartSignatures lists the signatures of the replies merged by a gather.
	PartSignatures string
	// MissingParts is the number of parts of a gather that are missing from the
	// answer.
	MissingParts string
	// Authorization carries a caller's key after the word KeyScheme, in any case, and a
	// space.
	Authorization string
	KeyScheme     string
	// Account is the name of the client account that a request belongs to.
	Account string
}
