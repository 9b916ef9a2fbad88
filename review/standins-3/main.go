// Command standins-3 plays the scripts of the third review: it starts gateways as separate processes, and plays the platform's store, the workers
// and the requesters on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 115 * time.Second

var cases = map[string]func(*world) verdict{}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// notRun is the panic of a case that cannot run.
type notRun struct{ err error }

func must(err error) {
	if err != nil {
		panic(notRun{err})
	}
}

func main() {
	name := flag.String("case", "", "number of the case")
	folder := flag.String("folder", ".", "folder for record.txt")
	gateway := flag.String("gateway", "target/bilberry-gateway", "program of the gateway")
	flag.Parse()
	os.Exit(run(*name, *folder, *gateway))
}

func run(name, folder, gateway string) (code int) {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	w, err := newWorld(filepath.Join(folder, "record.txt"), gateway, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer func() {
		if r := recover(); r != nil {
			reason, ok := r.(notRun)
			if !ok {
				panic(r)
			}
			w.notef("the case could not run: %v", reason.err)
			fmt.Println("could not run:", reason.err)
			code = exitNotRun
		}
	}()
	watchdog := time.AfterFunc(caseTimeout, func() {
		w.notef("the case has not ended in time")
		w.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	v := play(w)
	w.notef("verdict: %s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
