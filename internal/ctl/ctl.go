// Package ctl implements the commands of bilberryctl.
package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/operator"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the server or a file could not be read, or the request was refused for another reason
	ExitInvalid  = 2 // the text has faults
	ExitConflict = 3 // another change came first
	ExitDoubt    = 4 // the outcome is not known; repeat with the printed flags
	ExitPending  = 5 // accepted, but not in force within the time of --wait
	ExitDiffers  = 6 // diff found differences
)

// CLI declares the flags and commands.
type CLI struct {
	Server  string           `name:"server" default:"http://127.0.0.1:8080" help:"Base URL of an entry."`
	Token   string           `name:"token" help:"Operator token."`
	JSON    bool             `name:"json" help:"Print JSON."`
	Timeout time.Duration    `name:"timeout" default:"30s" help:"Time limit of one request."`
	Version kong.VersionFlag `name:"version" env:"-" help:"Print the version."`

	Validate ValidateCmd `cmd:"" help:"Check a configuration text without a server."`
	Diff     DiffCmd     `cmd:"" help:"Show what a text would change."`
	Apply    ApplyCmd    `cmd:"" help:"Submit a text against the current one."`
	Status   StatusCmd   `cmd:"" help:"Show the epoch at each node."`
	Audit    AuditCmd    `cmd:"" help:"Show the audit trail."`
}

// ExitError carries an exit code.
type ExitError struct {
	Code    int
	Message string
}

// Error implements the error interface.
func (e *ExitError) Error() string { return e.Message }

// Context is what the commands share.
type Context struct {
	CLI    *CLI
	Out    io.Writer
	Client *http.Client
}

// ValidateCmd is `validate FILE`.
type ValidateCmd struct {
	File string `arg:"" type:"existingfile" help:"Configuration text."`
}

// Run checks the file and prints every fault with its line.
func (c *ValidateCmd) Run(x *Context) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	snapshot, faults := fleet.NewSnapshot(1, raw)
	if len(faults) == 0 {
		faults = fleet.CheckRecallChanges(nil, snapshot.Text, raw)
	}
	var warnings []string
	if snapshot != nil {
		warnings = fleet.Warnings(snapshot)
	}
	if x.CLI.JSON {
		err = x.json(map[string]any{"valid": len(faults) == 0, "faults": faults, "warnings": warnings})
	} else {
		x.printFaults(c.File, faults, warnings)
	}
	if err == nil && len(faults) > 0 {
		return &ExitError{Code: ExitInvalid, Message: fmt.Sprintf("%d faults", len(faults))}
	}
	return err
}

func (x *Context) printFaults(file string, faults []fleet.Fault, warnings []string) {
	for _, f := range faults {
		fmt.Fprintf(x.Out, "%s:%d: %s\n", file, f.Line, f.Message)
	}
	for _, w := range warnings {
		fmt.Fprintf(x.Out, "warning: %s\n", w)
	}
	if len(faults) == 0 {
		fmt.Fprintf(x.Out, "%s: valid\n", file)
	}
}

// DiffCmd is `diff FILE`.
type DiffCmd struct {
	File string `arg:"" type:"existingfile" help:"Configuration text."`
}

// Run compares the file with the current text.
func (c *DiffCmd) Run(x *Context) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	next, faults := fleet.Parse(raw)
	if len(faults) > 0 {
		x.printFaults(c.File, faults, nil)
		return &ExitError{Code: ExitInvalid, Message: fmt.Sprintf("%d faults", len(faults))}
	}
	current, _, err := x.fetch()
	if err != nil {
		return err
	}
	old, faults := fleet.Parse(current)
	if len(faults) > 0 && len(current) > 0 {
		return errors.Errorf("current text: %s", faults[0])
	}
	lines := fleet.Diff(old, next)
	if x.CLI.JSON {
		if err := x.json(lines); err != nil {
			return err
		}
	} else if len(lines) > 0 {
		fmt.Fprintln(x.Out, strings.Join(lines, "\n"))
	}
	if len(lines) > 0 {
		return &ExitError{Code: ExitDiffers, Message: fmt.Sprintf("%d differences", len(lines))}
	}
	return nil
}

// ApplyCmd is `apply FILE`.
type ApplyCmd struct {
	File       string        `arg:"" type:"existingfile" help:"Configuration text."`
	Submission string        `help:"Submission id of an earlier attempt whose outcome is not known."`
	Operator   string        `help:"Remark for the audit trail, beside the verified name of the token." env:"USER"`
	IfMatch    int64         `name:"if-match" default:"-1" help:"Epoch that the text was made for; -1 takes the current one."`
	Wait       time.Duration `help:"Time to wait until the text is in force."`
}

// Run submits the file and, with --wait, waits until it is in force.
func (c *ApplyCmd) Run(x *Context) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.Submission != "" && c.IfMatch < 0 {
		// Against the epoch of now, the repetition would be a new change that undoes those made since.
		return &ExitError{Code: ExitFailure, Message: "--submission needs the --if-match of the first attempt"}
	}
	tag := `"` + strconv.FormatInt(c.IfMatch, 10) + `"`
	if c.IfMatch < 0 {
		if _, tag, err = x.fetch(); err != nil {
			return err
		}
	}
	if c.Submission == "" {
		c.Submission = rand.Text()
	}
	header := http.Header{"If-Match": {tag}, operator.SubmissionHeader: {c.Submission}, operator.OperatorHeader: {c.Operator}}
	body, _, err := x.call(http.MethodPut, "/v1/fleet", header, raw)
	if err != nil {
		return c.explain(err, tag)
	}
	var accepted epoch.SubmitResult
	if err := json.Unmarshal(body, &accepted); err != nil {
		return errors.Wrap(err, "answer")
	}
	if c.Wait > 0 && !accepted.InForce {
		accepted.InForce = x.waitInForce(accepted.Epoch, c.Wait)
	}
	return c.report(x, accepted)
}

// explain adds how to repeat a submission whose outcome is not known.
func (c *ApplyCmd) explain(err error, tag string) error {
	repeat := "\nrepeat with --submission " + c.Submission + " --if-match " + strings.Trim(tag, `"`)
	var exit *ExitError
	if errors.As(err, &exit) {
		if exit.Code == ExitDoubt {
			exit.Message += repeat
		}
		return err
	}
	return &ExitError{Code: ExitDoubt, Message: err.Error() + repeat}
}

func (c *ApplyCmd) report(x *Context, accepted epoch.SubmitResult) error {
	if x.CLI.JSON {
		if err := x.json(accepted); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(x.Out, "epoch %d accepted, in force: %t\n", accepted.Epoch, accepted.InForce)
		for _, w := range accepted.Warnings {
			fmt.Fprintf(x.Out, "warning: %s\n", w)
		}
	}
	if c.Wait > 0 && !accepted.InForce {
		return &ExitError{Code: ExitPending, Message: "not in force yet; see bilberryctl status"}
	}
	return nil
}

// statusInterval is the pause between status requests while waiting.
const statusInterval = 200 * time.Millisecond

func (x *Context) waitInForce(want int64, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		st, err := x.status()
		if err == nil && st.Epoch >= want && st.InForce {
			return true
		}
		time.Sleep(statusInterval)
	}
	return false
}

// StatusCmd is `status`.
type StatusCmd struct{}

// Run prints the epoch at each node.
func (c *StatusCmd) Run(x *Context) error {
	st, err := x.status()
	if err != nil {
		return err
	}
	if x.CLI.JSON {
		return x.json(st)
	}
	x.printSummary(st)
	if err := x.printNodes(st.Nodes); err != nil {
		return err
	}
	return x.printEngines(st.Nodes)
}

func (x *Context) printSummary(st operator.Status) {
	fmt.Fprintf(x.Out, "epoch %d, in force: %t, evidence fresh: %t\n", st.Epoch, st.InForce, st.Fresh)
	if len(st.Unconfirmed) > 0 {
		fmt.Fprintf(x.Out, "unconfirmed: %s\n", strings.Join(st.Unconfirmed, ", "))
	}
	for _, r := range st.Recalls {
		state := "some nodes may still start answers from it"
		if r.Stopped {
			state = "no node can start an answer from it"
		}
		if len(r.Loaded) > 0 {
			state += "; still loaded at " + strings.Join(r.Loaded, ", ")
		}
		fmt.Fprintf(x.Out, "recalled %s: %s\n", r.Name, state)
	}
	for _, r := range st.Rollouts {
		fmt.Fprintf(x.Out, "rollout of %s: held by %d of %d endpoints", r.Version, r.HoldingEndpoints, r.AssignedEndpoints)
		if len(r.Faults) > 0 {
			fmt.Fprintf(x.Out, ", faults: %s", strings.Join(r.Faults, ", "))
		}
		fmt.Fprintln(x.Out)
	}
	for _, b := range st.Blamed {
		fmt.Fprintf(x.Out, "blamed prompt %s: crashed %s, refused until %s\n", b.Fingerprint, strings.Join(b.Endpoints, ", "),
			b.Until.Format(time.RFC3339))
	}
	for _, id := range st.InDoubt {
		fmt.Fprintf(x.Out, "in doubt: submission %s\n", id)
	}
	for _, w := range st.Warnings {
		fmt.Fprintf(x.Out, "warning: %s\n", w)
	}
}

func (x *Context) printNodes(nodes []epoch.NodeStatus) error {
	tab := tabwriter.NewWriter(x.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "\nNODE\tROLE\tFAILURE DOMAIN\tEPOCH\tHEARD\tSTATE")
	for _, n := range nodes {
		heard := "never"
		if n.LastHeardMs >= 0 {
			heard = (time.Duration(n.LastHeardMs) * time.Millisecond).String()
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%s\t%s\n", n.Name, n.Role, n.FailureDomain, n.Epoch, heard, stateOf(n))
	}
	return tab.Flush()
}

func stateOf(n epoch.NodeStatus) string {
	var state []string
	if !n.Confirmed {
		state = append(state, "unconfirmed")
	}
	if n.Leaving {
		state = append(state, "leaving")
	}
	if !n.Live {
		state = append(state, "not live")
	}
	for _, fault := range []string{n.Fault, n.OrderFault} {
		if fault != "" {
			state = append(state, fault)
		}
	}
	if len(state) == 0 {
		return "ok"
	}
	return strings.Join(state, "; ")
}

// printEngines prints what the engines hold and what they lack.
func (x *Context) printEngines(nodes []epoch.NodeStatus) error {
	tab := tabwriter.NewWriter(x.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "\nENGINE\tLOADED\tMISSING")
	for _, n := range nodes {
		if len(n.Loaded)+len(n.Missing) > 0 {
			fmt.Fprintf(tab, "%s\t%s\t%s\n", n.Endpoint, weights(n.Loaded), weights(n.Missing))
		}
	}
	return tab.Flush()
}

func weights(versions []endpoint.Version) string {
	if len(versions) == 0 {
		return "-"
	}
	names := make([]string, 0, len(versions))
	for _, v := range versions {
		names = append(names, v.WeightName())
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// AuditCmd is `audit`.
type AuditCmd struct {
	Limit   int    `default:"100" help:"Records to show, at most 1000: the newest ones, or those after a key."`
	After   string `help:"Key of a record; shows the records after it. 'audit/' starts at the oldest."`
	Details int    `default:"20" help:"Most details to show of each record; 0 shows all. JSON always has all."`
}

// Run prints the audit trail, oldest first.
func (c *AuditCmd) Run(x *Context) error {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}, "after": {c.After}}
	body, _, err := x.call(http.MethodGet, "/v1/audit?"+query.Encode(), nil, nil)
	if err != nil {
		return err
	}
	var records []epoch.AuditRecord
	if err := json.Unmarshal(body, &records); err != nil {
		return errors.Wrap(err, "answer")
	}
	if x.CLI.JSON {
		return x.json(records)
	}
	for _, r := range records {
		outcome := r.Outcome
		if r.Epoch > 0 {
			outcome += fmt.Sprintf("  epoch %d", r.Epoch)
		}
		fmt.Fprintf(x.Out, "%s  %s  base %d  by %s at %s  submission %s  key %s\n", r.Time.Format(time.RFC3339), outcome, r.BaseEpoch,
			operatorName(r), r.Node, r.Submission, r.Key)
		shown := r.Details
		if c.Details > 0 {
			shown = shown[:min(len(shown), c.Details)]
		}
		for _, d := range shown {
			fmt.Fprintf(x.Out, "    %s\n", d)
		}
		if hidden := len(r.Details) - len(shown); hidden > 0 {
			fmt.Fprintf(x.Out, "    and %d more\n", hidden)
		}
	}
	return nil
}

// operatorName returns the verified name and, in quotes, the unverified remark.
func operatorName(r epoch.AuditRecord) string {
	name := r.Operator
	if name == "" {
		name = "unnamed token"
	}
	if r.ClaimedOperator != "" {
		name += fmt.Sprintf(" (remark %q)", r.ClaimedOperator)
	}
	return name
}

func (x *Context) json(v any) error {
	enc := json.NewEncoder(x.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (x *Context) status() (operator.Status, error) {
	var st operator.Status
	body, _, err := x.call(http.MethodGet, "/v1/fleet/status", nil, nil)
	if err != nil {
		return st, err
	}
	return st, errors.Wrap(json.Unmarshal(body, &st), "answer")
}

// fetch returns the current text and its ETag. Before the first text the text is empty.
func (x *Context) fetch() (raw []byte, tag string, err error) {
	body, header, err := x.call(http.MethodGet, "/v1/fleet", nil, nil)
	if err != nil && header.Get("ETag") == `"0"` {
		return nil, `"0"`, nil
	}
	return body, header.Get("ETag"), err
}

// call sends one request. An error answer becomes an ExitError.
func (x *Context) call(method, path string, header http.Header, body []byte) ([]byte, http.Header, error) {
	base, err := url.Parse(x.CLI.Server)
	if err != nil {
		return nil, nil, errors.Wrap(err, "--server")
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.CLI.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base.String(), "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+x.CLI.Token)
	resp, err := x.Client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, resp.Header, failure(resp.Status, answer)
	}
	return answer, resp.Header, nil
}

func failure(status string, answer []byte) error {
	var body errkind.Body
	if err := json.Unmarshal(answer, &body); err != nil || body.Error.Kind == "" {
		return &ExitError{Code: ExitFailure, Message: status}
	}
	e := &ExitError{Code: ExitFailure, Message: string(body.Error.Kind) + ": " + body.Error.Message}
	for _, d := range body.Error.Details {
		e.Message += "\n  " + d
	}
	switch body.Error.Kind {
	case errkind.FleetInvalid:
		e.Code = ExitInvalid
	case errkind.EpochConflict:
		e.Code = ExitConflict
	case errkind.AcceptanceUnknown:
		e.Code = ExitDoubt
	}
	return e
}
