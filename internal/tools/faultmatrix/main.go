// Command faultmatrix prints docs/FAULTS.md, the table of faults and of the
// steps at which tests cause them. It is generated from markers in the tests,
// so that it can't drift from them.
//
// A marker is a line of the comment above a test function, naming a row and a
// column of the table by their short names:
//
//	// fault: kill x submit
//	// fault: cut-both x ticket
//	func TestSubmitAfterCrash(t *testing.T) {
//
// Run it from anywhere in the repository:
//
//	go run ./internal/tools/faultmatrix > docs/FAULTS.md
package main

import (
	"fmt"
	"os"
)

func main() {
	page, err := generate(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultmatrix:", err)
		os.Exit(1)
	}
	fmt.Print(page)
}

// generate returns the page for the repository around folder.
func generate(folder string) (string, error) {
	root, err := moduleRoot(folder)
	if err != nil {
		return "", err
	}
	found, err := scan(root)
	if err != nil {
		return "", err
	}
	return render(found), nil
}
