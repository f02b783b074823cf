// Command examples writes the example settings and tickets of both users under
// examples/, from one table of the sizes of today.
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

// writeAll writes every example below the repository's root.
func writeAll(root string) error {
	for _, user := range users() {
		folder := filepath.Join(root, "examples", user.name)
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return err
		}
		for name, text := range user.files() {
			if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}
