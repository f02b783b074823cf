// Command capacity prints the calculation in docs/CAPACITY.md: the measured
// resource costs per unit (slopes), and the resources that each role needs at
// the design size. With --write PAGE it replaces the text between the markers of
// that page.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Markers of the generated part of the page.
const (
	beginMarker = "<!-- begin: make capacity -->"
	endMarker   = "<!-- end: make capacity -->"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "--write" {
		if err := writePage(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(1)
		}
		return
	}
	fmt.Print(render())
}

// writePage replaces the generated part of a page.
func writePage(path string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	updated, err := replaceGenerated(string(page), render())
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(updated), 0o644)
}

// replaceGenerated returns page with body between its markers.
func replaceGenerated(page, body string) (string, error) {
	before, rest, ok := strings.Cut(page, beginMarker)
	if !ok {
		return "", fmt.Errorf("marker %q is missing", beginMarker)
	}
	_, after, ok := strings.Cut(rest, endMarker)
	if !ok {
		return "", fmt.Errorf("marker %q is missing", endMarker)
	}
	return before + beginMarker + "\n\n" + body + "\n" + endMarker + after, nil
}
