// Command cases2 runs the cases of the second review that can't be put as a day of the bench.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes: the rule held, was broken, or the case could not run.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*record, string, bool) (bool, error){
	"stray-check-in":         strayCheckIn,
	"half-closed":            halfClosed,
	"departed-after-restart": departedAfterRestart,
	"crash-after-restart":    crashAfterRestart,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER PROGRAMS")
		os.Exit(failed)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, %s, trouble %t", os.Args[1], time.Now().UTC().Format(time.RFC3339), trouble)
	isBroken, err := cases[os.Args[1]](rec, os.Args[3], trouble)
	code := held
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		code = failed
	case isBroken:
		code = broken
	}
	rec.add("exit %d", code)
	rec.close()
	os.Exit(code)
}
