package standin

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// PlatformDomain is the name that a group of FaultState.Partition lists to keep the platform's services reachable.
const PlatformDomain = "platform"

// AllAnswers, as the value of FaultState.TableLoseAnswers, drops the answer of every commit.
const AllAnswers Count = -1

// Count is a number of events. In JSON it may also be true, for all events, or false, for none.
type Count int

// UnmarshalJSON implements json.Unmarshaler.
func (c *Count) UnmarshalJSON(data []byte) error {
	switch string(data) {
	case "true":
		*c = AllAnswers
	case "false":
		*c = 0
	default:
		var n int
		if err := json.Unmarshal(data, &n); err != nil {
			return errors.Wrap(err, "count")
		}
		*c = Count(n)
	}
	return nil
}

// FaultState is the set of injected faults. Durations are in wall clock milliseconds; the time scale does not apply to them.
type FaultState struct {
	TableDown           bool       `json:"table_down" doc:"the table refuses every call; nothing is written"`
	TableDelayMS        int64      `json:"table_delay_ms" doc:"added to every table call before it takes effect"`
	TableLoseAnswers    Count      `json:"table_lose_answers" doc:"number of next commits that take effect but whose answer is lost; true or -1: all"`
	ObjectsDown         bool       `json:"objects_down" doc:"the object store refuses every call"`
	WeightsDown         bool       `json:"weights_down" doc:"the weight store refuses every call"`
	VMListLagMS         int64      `json:"vm_list_lag_ms" doc:"age of the VM list"`
	VMLeaving           []string   `json:"vm_leaving" doc:"names of VMs that the list shows as leaving, after its lag"`
	EngineCrash         string     `json:"engine_crash" doc:"endpoint that crashes once, now, and restarts with a new incarnation; not kept"`
	EngineDown          []string   `json:"engine_down" doc:"endpoints that crash and stay down while listed"`
	CrashMarker         string     `json:"crash_marker" doc:"a prompt that contains this text crashes the engine that starts it; empty: none"`
	ConnectionSilent    []string   `json:"connection_silent" doc:"nodes or endpoints whose connections that are open now go silent for good, now; later ones work; not kept"`
	Partition           [][]string `json:"partition" doc:"groups of failure domains that cannot reach each other; unlisted domains form one more group; the platform is reachable from all unless groups list the name platform, then only from those"`
	DropCacheEvents     bool       `json:"drop_cache_events" doc:"engines lose their cache events, which leaves gaps in the sequence"`
	LoadLagMS           int64      `json:"load_lag_ms" doc:"largest age of an engine's load report"`
	IgnoreFencing       bool       `json:"ignore_fencing" doc:"engines take orders with an old fencing token"`
	SlowLookupsMS       int64      `json:"slow_lookups_ms" doc:"added to lookups (GET) of plain services"`
	SlowCallsMS         int64      `json:"slow_calls_ms" doc:"added to calls of plain services that are not lookups, after they are executed and counted"`
	SlowLookupEndpoints []string   `json:"slow_lookups_endpoints" doc:"plain-service endpoints that slow_lookups_ms applies to; empty: all"`
}

// Faults holds the current FaultState. It is safe for concurrent use.
type Faults struct {
	mu        sync.Mutex
	initial   FaultState
	state     FaultState
	changed   chan struct{}
	validate  func(FaultState) error
	listeners []func(before, after FaultState)
}

func newFaults(initial FaultState) *Faults {
	return &Faults{initial: initial, state: initial, changed: make(chan struct{}),
		validate: func(FaultState) error { return nil }}
}

// State returns the current faults. The caller must not modify the slices.
func (f *Faults) State() FaultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Changed returns a channel that is closed at the next change.
func (f *Faults) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// OnChange registers fn to be called after each change, in order of registration.
func (f *Faults) OnChange(fn func(before, after FaultState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, fn)
}

// Merge applies the fields of a JSON object. An unknown field or endpoint name is an error and leaves the faults unchanged.
// The field "reset": true resets all faults to their initial values first.
func (f *Faults) Merge(data []byte) error {
	reset, fields, err := splitReset(data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	before := f.state
	next := before
	if reset {
		next = f.initial
	}
	dec := json.NewDecoder(bytes.NewReader(fields))
	dec.DisallowUnknownFields()
	if err = dec.Decode(&next); err == nil {
		err = f.validate(next)
	}
	if err != nil {
		f.mu.Unlock()
		return errors.Wrap(err, "faults")
	}
	f.apply(next)
	return nil
}

// Set applies change to a copy of the faults and installs the result without validation.
func (f *Faults) Set(change func(*FaultState)) {
	f.mu.Lock()
	next := f.state
	change(&next)
	f.apply(next)
}

// apply installs next, unlocks f.mu, which the caller holds, and calls the listeners. One-shot faults are passed to the
// listeners but not stored.
func (f *Faults) apply(next FaultState) {
	before := f.state
	f.state = next
	f.state.EngineCrash = ""
	f.state.ConnectionSilent = nil
	close(f.changed)
	f.changed = make(chan struct{})
	listeners := slices.Clone(f.listeners)
	f.mu.Unlock()
	for _, fn := range listeners {
		fn(before, next)
	}
}

// loseAnswer reports whether to drop the answer of a commit, and decrements the number of answers to drop.
func (f *Faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.TableLoseAnswers > 0 {
		f.state.TableLoseAnswers--
		return true
	}
	return f.state.TableLoseAnswers == AllAnswers
}

func splitReset(data []byte) (reset bool, rest []byte, err error) {
	var fields map[string]json.RawMessage
	if err = json.Unmarshal(data, &fields); err != nil {
		return false, nil, errors.Wrap(err, "faults")
	}
	if raw, ok := fields["reset"]; ok {
		if err = json.Unmarshal(raw, &reset); err != nil {
			return false, nil, errors.Wrap(err, "faults: reset")
		}
		delete(fields, "reset")
	}
	rest, err = json.Marshal(fields)
	return reset, rest, errors.Wrap(err, "faults")
}

// FaultDoc describes one fault with its current value.
type FaultDoc struct {
	Description string `json:"description"`
	Value       any    `json:"value"`
}

// Describe returns the description and value of every fault by its JSON name.
func (f *Faults) Describe() map[string]FaultDoc {
	state := reflect.ValueOf(f.State())
	docs := make(map[string]FaultDoc, state.NumField()+1)
	for i := range state.NumField() {
		field := state.Type().Field(i)
		docs[field.Tag.Get("json")] = FaultDoc{Description: field.Tag.Get("doc"), Value: state.Field(i).Interface()}
	}
	docs["reset"] = FaultDoc{Description: "true returns all faults to their initial values before the other fields apply", Value: false}
	return docs
}

// Reachable reports whether failure domain from can reach failure domain to. PlatformDomain denotes the platform.
func (s FaultState) Reachable(from, to string) bool {
	if len(s.Partition) == 0 || from == to {
		return true
	}
	if to == PlatformDomain {
		return s.platformReachable(from)
	}
	return s.groupOf(from) == s.groupOf(to)
}

func (s FaultState) platformReachable(from string) bool {
	listed := false
	for _, group := range s.Partition {
		if !slices.Contains(group, PlatformDomain) {
			continue
		}
		listed = true
		if slices.Contains(group, from) {
			return true
		}
	}
	return !listed
}

// groupOf returns the index of the domain's group, or -1 for the group of unlisted domains.
func (s FaultState) groupOf(domain string) int {
	return slices.IndexFunc(s.Partition, func(group []string) bool { return slices.Contains(group, domain) })
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
