package api

// EntryStatus is an entry node's reply to /v1/status on its operators' listener.
type EntryStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"config_version"`
	// ConfigAgeMS is the time in milliseconds since a control quorum last
	// confirmed the configuration; -1 means never.
	ConfigAgeMS int64          `json:"config_age_ms"`
	Members     []EntryMember  `json:"members"`
	Targets     []TargetStatus `json:"targets"`
	// Forward is nil on a node that doesn't forward requests.
	Forward *ForwardStatus `json:"forward,omitempty"`
}

// EntryMember is an entry node as another entry node sees it.
type EntryMember struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
}

// TargetStatus is a target as an entry node sees it.
type TargetStatus struct {
	Target           TargetID    `json:"target"`
	Service          string      `json:"service"`
	DataCentre       string      `json:"data_centre"`
	Address          string      `json:"address"`
	State            TargetState `json:"state"`
	Snapshots        []Snapshot  `json:"snapshots"`
	InFlight         int         `json:"in_flight"`
	ConcurrencyLimit int         `json:"concurrency_limit"`
	Connections      int         `json:"connections"`
	ConnectionBudget int         `json:"connection_budget"`
	LatencyMS        float64     `json:"latency_ms"`
	Ejected          bool        `json:"ejected"`
}

// Explanation describes how an entry node would serve a query now. It is the
// reply to /v1/explain on the node's operators' listener.
type Explanation struct {
	Service string `json:"service"`
	// Rule is the routing rule that applied, empty if none did.
	Rule          string             `json:"rule,omitempty"`
	ServedBy      string             `json:"served_by"`
	Snapshot      Snapshot           `json:"snapshot"`
	NewestVersion uint64             `json:"newest_version"`
	Why           string             `json:"why"`
	Shards        []ShardExplanation `json:"shards"`
}

// ShardExplanation describes which replica of a shard would be chosen.
type ShardExplanation struct {
	Shard      ShardID                `json:"shard"`
	Chosen     TargetID               `json:"chosen,omitempty"`
	Candidates []CandidateExplanation `json:"candidates"`
}

// CandidateExplanation holds the inputs of the choice for a replica.
type CandidateExplanation struct {
	Target TargetID `json:"target"`
	Score  float64  `json:"score"`
	// Excluded is the reason why the replica can't be chosen, empty if it can.
	Excluded  string  `json:"excluded,omitempty"`
	InFlight  int     `json:"in_flight"`
	Limit     int     `json:"limit"`
	LatencyMS float64 `json:"latency_ms"`
	Local     bool    `json:"local"`
}
