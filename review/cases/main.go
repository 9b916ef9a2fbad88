// Command review-cases runs the cases of the review that are scripts. It starts the gateway program as separate processes and plays their
// platform: the store, workers and requesters. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// A case reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"silent-store-connections": silentStoreConnections,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*world, bool) (bool, error), path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(r)
	if w != nil {
		defer w.close()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.note("the case was ended from outside")
		if w != nil {
			w.close()
		}
		os.Exit(2)
	}()
	trouble, broken := os.Getenv("TROUBLE") != "0", false
	if err == nil {
		r.note("disruption: %t", trouble)
		broken, err = play(w, trouble)
	}
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return 2
	case broken:
		r.note("result: the rule was broken")
		return 1
	}
	r.note("result: the rule held")
	return 0
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, startedAt: time.Now()}, err
}

func (r *record) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
