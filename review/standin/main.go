// Command standin plays the cases of the folder review that are scripts: it starts the
// project's programs on loopback, stands in for clients, searchers and the platform, and
// checks one rule.
//
// Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// cases are the scripts by the name that run.sh gives. Each returns whether the rule was
// broken.
var cases = map[string]func(p *platform, trouble bool) (broken bool, err error){
	"stray-check-in":      strayCheckIn,
	"incomplete-check-in": incompleteCheckIn,
	"late-deregistration": lateDeregistration,
	"first-start":         firstStart,
	"large-top":           largeTop,
}

// startsItself is the case that starts the machines itself.
const startsItself = "first-start"

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return codeNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)
	c, err := newCluster(rec, 3, 3)
	if err != nil {
		rec.say("not run: %v", err)
		return codeNotRun
	}
	defer c.stop()
	if os.Args[1] != startsItself {
		if err := c.start(); err != nil {
			rec.say("not run: %v", err)
			return codeNotRun
		}
	}
	broken, err := cases[os.Args[1]](newPlatform(c), trouble)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return codeNotRun
	case broken:
		rec.say("the rule was broken")
		return codeBroken
	}
	rec.say("the rule held")
	return codeHeld
}
