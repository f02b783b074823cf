package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"wigeonbay/internal/api"
)

// Audit compares the outcomes that the callers of submits received with the
// targets' records of the runs.
type Audit struct {
	// Submits is the number of keys sent.
	Submits int `json:"submits"`
	// Ran, NotRun and Unknown count the outcomes that the callers received.
	Ran     int `json:"ran"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// RanTwice counts the keys that ran more than once, and the keys that ran
	// although the caller was told that they did not, because that caller may
	// submit the request again.
	RanTwice int `json:"ran_twice"`
	// Lost counts the keys that never ran although the caller was told that they
	// did.
	Lost int `json:"lost"`
	// Faults describes the first keys of RanTwice and Lost, at most maxFaults.
	Faults []string `json:"faults,omitempty"`
}

// AuditSubmits compares the results that the callers received with the number of
// runs of each key.
func AuditSubmits(submitted []SubmitResult, runs map[string]int) Audit {
	audit := Audit{Submits: len(submitted)}
	for _, s := range submitted {
		audit.countOutcome(s.Ran)
		times := runs[s.Key]
		switch {
		case times > 1:
			audit.RanTwice++
			audit.addFault("key %s ran %d times", s.Key, times)
		case times > 0 && s.Ran == api.RanNo:
			audit.RanTwice++
			audit.addFault("key %s ran, and its caller was told that it did not: %s", s.Key, s.Detail)
		case times == 0 && s.Ran == api.RanYes:
			audit.Lost++
			audit.addFault("key %s never ran, and its caller was told that it did: %s", s.Key, s.Detail)
		}
	}
	return audit
}

func (a *Audit) countOutcome(ran api.Ran) {
	switch ran {
	case api.RanYes:
		a.Ran++
	case api.RanNo:
		a.NotRun++
	default:
		a.Unknown++
	}
}

func (a *Audit) addFault(format string, args ...any) {
	if len(a.Faults) < maxFaults {
		a.Faults = append(a.Faults, fmt.Sprintf(format, args...))
	}
}

// GatherRuns fetches the number of runs of each key from the targets at the given
// addresses and returns the sums over all targets.
func GatherRuns(ctx context.Context, client *http.Client, targets []string) (map[string]int, error) {
	total := make(map[string]int)
	for _, target := range targets {
		runs, err := fetchRuns(ctx, client, target)
		if err != nil {
			return nil, fmt.Errorf("fetch runs of target %s: %w", target, err)
		}
		for key, times := range runs {
			total[key] += times
		}
	}
	return total, nil
}

func fetchRuns(ctx context.Context, client *http.Client, target string) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/v1/runs", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	var runs map[string]int
	err = json.NewDecoder(response.Body).Decode(&runs)
	return runs, err
}
