// Command eventdoc generates docs/EVENTS.md, the reference of numbered log
// events, from the catalogue in internal/telemetry.
package main

import (
	"fmt"
	"os"
	"strings"

	"wigeonbay/internal/telemetry"
)

// pagePath is relative to the repository's root, in which the command must run.
const pagePath = "docs/EVENTS.md"

func main() {
	if err := os.WriteFile(pagePath, []byte(render(telemetry.Catalogue())), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "eventdoc:", err)
		os.Exit(1)
	}
}

const introduction = `# Log events

Written by ` + "`go run ./internal/tools/eventdoc`" + ` from the catalogue in
internal/telemetry; a test fails when this page is out of date.

Every process writes JSON lines to standard error. Each line has the process,
its id and an ` + "`event`" + ` number. A number never changes its meaning, so alerts can
rely on it: 1xxx entry nodes, 2xxx control processes, 3xxx membership and the
spread of configuration, 4xxx stand-in searchers, 5xxx any process.

| number | level | text | meaning |
|---|---|---|---|
`

func render(events []telemetry.Event) string {
	var text strings.Builder
	text.WriteString(introduction)
	for _, event := range events {
		fmt.Fprintf(&text, "| %d | %s | %s | %s |\n", event.Number, event.Level, event.Text, event.Meaning)
	}
	return text.String()
}
