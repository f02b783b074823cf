// Command examples generates the example settings and tickets of both users in
// examples/ from a table of deployment sizes. Run it in the repository's root.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if err := writeAll("."); err != nil {
		fmt.Fprintln(os.Stderr, "examples:", err)
		os.Exit(1)
	}
}

// writeAll writes the files of every example deployment below the repository's
// root.
func writeAll(root string) error {
	for _, d := range deployments() {
		dir := filepath.Join(root, "examples", d.name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		for name, text := range d.files() {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}
