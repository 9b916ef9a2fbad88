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

// Violations that the callers' answers, or these and the stand-in's counters, can show.
const (
	ViolationIncompleteAnswer   = "answer_not_whole"        // a successful answer does not match its usage, or has none
	ViolationDifferentAnswers   = "two_answers_for_key"     // successful answers under one idempotency key differ
	ViolationNotRunExecuted     = "not_run_but_executed"    // all answers under a key say not_run, but the counters show an execution
	ViolationMultipleExecutions = "executed_more_than_once" // the counters show more than one execution under a key
)

// maxExamples is the maximum number of examples kept for each kind of violation.
const maxExamples = 10

// Violation counts the occurrences of one kind of violation and holds some examples.
type Violation struct {
	Name     string   `json:"name"`
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

// keyState summarizes the answers received under one idempotency key.
type keyState struct {
	succeeded  bool
	answerHash uint64
	allNotRun  bool // every answer so far is an error with run state not_run
}

// checker detects and collects violations. It is safe for concurrent use.
type checker struct {
	mu               sync.Mutex
	keys             map[string]*keyState
	violationsByName map[string]*Violation
}

func newChecker() *checker {
	return &checker{keys: make(map[string]*keyState), violationsByName: make(map[string]*Violation)}
}

// observe checks the result of one request and updates the state of its key.
func (c *checker) observe(a *Arrival, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Fault != "" {
		c.addViolation(ViolationIncompleteAnswer,
			fmt.Sprintf("%s/%s: %s (%d tokens received)", a.Workspace.Name, a.Traffic.Name, r.Fault, r.AnswerTokens))
	}
	if a.Key == "" {
		return
	}
	state, ok := c.keys[a.Key]
	if !ok {
		state = &keyState{allNotRun: true}
		c.keys[a.Key] = state
	}
	if r.Outcome != OutcomeOK {
		state.allNotRun = state.allNotRun && r.RunState == errkind.NotRun
		return
	}
	state.allNotRun = false
	if state.succeeded && state.answerHash != r.AnswerHash {
		c.addViolation(ViolationDifferentAnswers, a.Key)
	}
	state.succeeded = true
	state.answerHash = r.AnswerHash
}

// checkExecutions compares the number of executions by key, as counted by the stand-in, with the answers received.
func (c *checker) checkExecutions(executions map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, state := range c.keys {
		count := executions[key]
		if count > 1 {
			c.addViolation(ViolationMultipleExecutions, fmt.Sprintf("%s: %d times", key, count))
		}
		if count > 0 && state.allNotRun {
			c.addViolation(ViolationNotRunExecuted, key)
		}
	}
}

func (c *checker) addViolation(name, example string) {
	violation, ok := c.violationsByName[name]
	if !ok {
		violation = &Violation{Name: name}
		c.violationsByName[name] = violation
	}
	violation.Count++
	if len(violation.Examples) < maxExamples {
		violation.Examples = append(violation.Examples, example)
	}
}

// violations returns the violations found so far, sorted by name.
func (c *checker) violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Violation, 0, len(c.violationsByName))
	for _, v := range c.violationsByName {
		slices.Sort(v.Examples)
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b Violation) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// countersResponse is the part of the stand-in's response to GET /counters that the checks need.
type countersResponse struct {
	Calls []struct {
		Key        string `json:"key"`
		Executions int    `json:"executions"`
	} `json:"calls"`
}

// ReadExecutions reads the stand-in's counters and returns the number of executions by idempotency key.
func ReadExecutions(ctx context.Context, client *http.Client, standin string) (map[string]int, error) {
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
	var response countersResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return nil, errors.Wrap(err, "decode counters")
	}
	executions := make(map[string]int)
	for _, call := range response.Calls {
		if call.Key != "" {
			executions[call.Key] += call.Executions
		}
	}
	return executions, nil
}
