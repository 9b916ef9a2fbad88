package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
)

// Names of violations.
const (
	ViolationNotWhole   = "answer_not_whole"        // [DONE] although tokens are missing
	ViolationTwoAnswers = "two_answers_for_key"     // different answers under one key
	ViolationNotRun     = "not_run_but_executed"    // every answer was not_run, the counters show an execution
	ViolationTwice      = "executed_more_than_once" // the counters show more than one execution
)

// maxExamples bounds the details kept of one kind of violation.
const maxExamples = 10

// Violation is a kind of violation with its count and some examples.
type Violation struct {
	Name     string   `json:"name"`
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

// keyState is what the answers under one key said.
type keyState struct {
	answered  bool
	hash      uint64
	onlyNoRun bool // every answer so far had run state not_run
}

// checker collects violations. It is safe for concurrent use.
type checker struct {
	mu    sync.Mutex
	keys  map[string]*keyState
	found map[string]*Violation
}

func newChecker() *checker {
	return &checker{keys: make(map[string]*keyState), found: make(map[string]*Violation)}
}

// observe checks one answer.
func (c *checker) observe(a *Arrival, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Fault != "" {
		c.add(ViolationNotWhole, fmt.Sprintf("%s/%s: %s (%d tokens received)", a.Workspace.Name, a.Traffic.Name, r.Fault, r.Tokens))
	}
	if a.Key == "" {
		return
	}
	state, ok := c.keys[a.Key]
	if !ok {
		state = &keyState{onlyNoRun: true}
		c.keys[a.Key] = state
	}
	if r.Outcome != OutcomeOK {
		state.onlyNoRun = state.onlyNoRun && r.Run == errkind.NotRun
		return
	}
	state.onlyNoRun = false
	if state.answered && state.hash != r.Hash {
		c.add(ViolationTwoAnswers, a.Key)
	}
	state.answered = true
	state.hash = r.Hash
}

// compare checks the executions by key that the stand-in counted.
func (c *checker) compare(executions map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, state := range c.keys {
		n := executions[key]
		if n > 1 {
			c.add(ViolationTwice, fmt.Sprintf("%s: %d times", key, n))
		}
		if n > 0 && state.onlyNoRun {
			c.add(ViolationNotRun, key)
		}
	}
}

func (c *checker) add(name, example string) {
	v, ok := c.found[name]
	if !ok {
		v = &Violation{Name: name}
		c.found[name] = v
	}
	v.Count++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, example)
	}
}

// violations returns what was found, by name.
func (c *checker) violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Violation, 0, len(c.found))
	for _, v := range c.found {
		slices.Sort(v.Examples)
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b Violation) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// counters is the part of the stand-in's GET /counters that the checks need.
type counters struct {
	Calls []struct {
		Key        string `json:"key"`
		Executions int    `json:"executions"`
	} `json:"calls"`
}

// Executions reads the stand-in's counters and returns the number of executions by idempotency key.
func Executions(ctx context.Context, client *http.Client, standin string) (map[string]int, error) {
	url := strings.TrimSuffix(standin, "/") + "/counters"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "counters")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "counters")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("counters: status %s", resp.Status)
	}
	var c counters
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		return nil, errors.Wrap(err, "decode counters")
	}
	executions := make(map[string]int)
	for _, call := range c.Calls {
		if call.Key != "" {
			executions[call.Key] += call.Executions
		}
	}
	return executions, nil
}
