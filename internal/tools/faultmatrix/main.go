// Command faultmatrix prints docs/FAULTS.md, a table of the faults that tests
// inject and the steps at which they inject them. It is generated from markers
// in the comments of the tests, so that it stays consistent with them.
//
// A marker is a line of the comment above a test function. It contains the short
// names of a row and a column of the table:
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

// generate returns the page for the module that contains dir.
func generate(dir string) (string, error) {
	root, err := moduleRoot(dir)
	if err != nil {
		return "", err
	}
	found, err := scan(root)
	if err != nil {
		return "", err
	}
	return render(found), nil
}
