// Command reviewcase plays the cases of the second review (review/6 to review/10). It starts gateways with the command of the deploy file and
// has small stand-ins of the platform, its store, the workers and the requesters.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule was kept
	exitBroken = 1
	exitCannot = 2 // the case could not run
)

// longestPlay is shorter than the time that a case may take.
const longestPlay = 110 * time.Second

// errCannotRun marks errors of the case itself, as opposed to a broken rule.
var errCannotRun = errors.New("cannot run")

// play plays a case and reports whether the rule was broken. trouble is false for the run without the disruption.
type play func(w *world, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE FOLDER")
		os.Exit(exitCannot)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays a case with its record in a folder, and returns the exit code.
func run(p play, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer record.Close()
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer w.close()
	time.AfterFunc(longestPlay, func() {
		w.say("the case takes too long")
		w.close()
		os.Exit(exitCannot)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("begin: trouble=%t", trouble)
	broken, err := p(w, trouble)
	switch {
	case err != nil:
		w.say("the case could not run: %v", err)
		return exitCannot
	case broken:
		w.say("RULE BROKEN")
		return exitBroken
	}
	w.say("rule held")
	return exitHeld
}
