package main

// axis is a row or a column of the table.
type axis struct {
	name  string // used in markers
	title string // printed in the page
}

// faults are the rows.
var faults = []axis{
	{"kill", "kill"},
	{"stop-continue", "stop and continue"},
	{"lost-disk", "lost disk"},
	{"failed-sync", "failed sync"},
	{"full-disk", "full disk"},
	{"stuck-disk", "stuck disk"},
	{"cut-both", "cut both ways"},
	{"cut-one-way", "cut one way"},
	{"cut-data-centre", "cut of one data centre"},
	{"control-alone", "control VM alone for long"},
	{"cut-from-targets", "node cut off from all targets"},
	{"silent-connection", "silent connection"},
	{"delayed-replies", "delayed and reordered replies"},
	{"operators-racing", "operators racing"},
	{"restart-after-changes", "restart after hundreds of changes"},
	{"failing-target", "slow or failing target"},
	{"overload", "overload"},
	{"crashing-request", "request that crashes its target"},
	{"endless-reply", "reply without end"},
	{"duplicate-reply", "second copy of a reply"},
	{"cold-start", "target that is cold after its start"},
	{"withdrawn-key", "key withdrawn during requests"},
	{"greedy-account", "account far above its rate"},
	{"no-allowed-region", "no target in the allowed regions"},
	{"crowd", "crowd of untrusted callers"},
	{"other-writer", "message of another writer"},
	{"two-at-once", "two at once"},
}

// steps are the columns.
var steps = []axis{
	{"search", "search"},
	{"submit", "submit"},
	{"forward", "forwarded request"},
	{"quota", "quota of an account"},
	{"ticket", "ticket"},
	{"announce", "announce"},
	{"drain", "drain"},
	{"evacuation", "evacuation"},
	{"restart", "restart"},
	{"repair", "repair"},
}

// cell is a combination of a fault and a step, by their names in markers.
type cell struct {
	fault string
	step  string
}

// findAxis returns the name of the axis with the given name or title, or "".
func findAxis(axes []axis, text string) string {
	for _, a := range axes {
		if a.name == text || a.title == text {
			return a.name
		}
	}
	return ""
}

// coveringTest is a test that injects the fault of a cell at its step.
type coveringTest struct {
	name string // name of the test function
	file string // path relative to the root of the repository
	// separateProcesses is set for tests of make faults, which run separate
	// processes.
	separateProcesses bool
}

// matrix maps each cell to the tests that cover it.
type matrix map[cell][]coveringTest
