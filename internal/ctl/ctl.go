// Package ctl implements the commands of bilberryctl.
package ctl

import (
	"bytes"
	"cmp"
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
	ExitFailure  = 1 // a file or the server could not be read, or the request was rejected for a reason without a code of its own
	ExitInvalid  = 2 // the configuration text has faults
	ExitConflict = 3 // another change came first
	ExitInDoubt  = 4 // the outcome of a submission is unknown; retry with the printed flags
	ExitPending  = 5 // accepted, but not in force when --wait timed out
	ExitDiffers  = 6 // the texts that diff compared differ
)

// defaultServer is the base URL of the first entry of a development fleet.
const defaultServer = "http://127.0.0.1:8080"

// CLI declares the global flags and the commands.
type CLI struct {
	Server  string           `name:"server" help:"Base URL of an entry (http://127.0.0.1:8080)."`
	Token   string           `name:"token" help:"Operator token."`
	JSON    bool             `name:"json" help:"Print JSON."`
	Timeout time.Duration    `name:"timeout" default:"30s" help:"Timeout of one request."`
	Version kong.VersionFlag `name:"version" env:"-" help:"Print the version and exit."`

	Check    CheckCmd    `cmd:"" help:"Check a configuration text; with --server, also against the current one. Nothing is submitted."`
	Validate ValidateCmd `cmd:"" help:"Check a configuration text without a server."`
	Diff     DiffCmd     `cmd:"" help:"Show the changes between the current text and a file."`
	Apply    ApplyCmd    `cmd:"" help:"Submit a text as a change of the current one."`
	Evacuate EvacuateCmd `cmd:"" help:"Send nothing more to the endpoints of a failure domain, or with --end, use them again."`
	Status   StatusCmd   `cmd:"" help:"Show the epoch and the state of each node."`
	Audit    AuditCmd    `cmd:"" help:"Show the audit trail."`
}

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code    int
	Message string
}

// Error implements the error interface.
func (e *ExitError) Error() string { return e.Message }

// Context contains the dependencies of the commands.
type Context struct {
	CLI    *CLI
	Out    io.Writer
	Client *http.Client
}

// DiffCmd is the command `diff FILE`.
type DiffCmd struct {
	File string `arg:"" type:"existingfile" help:"Configuration text."`
}

// Run prints the differences between the current text and the file.
func (c *DiffCmd) Run(env *Context) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	proposed, faults := fleet.Parse(raw)
	if len(faults) > 0 {
		env.printFaults(c.File, "", faults)
		return faultsError(faults)
	}
	current, _, err := env.fetchParsedText()
	if err != nil {
		return err
	}
	differences := fleet.Diff(current, proposed)
	if env.CLI.JSON {
		if err := env.printJSON(differences); err != nil {
			return err
		}
	} else if len(differences) > 0 {
		fmt.Fprintln(env.Out, strings.Join(differences, "\n"))
	}
	if len(differences) > 0 {
		return &ExitError{Code: ExitDiffers, Message: fmt.Sprintf("%d differences", len(differences))}
	}
	return nil
}

// ApplyCmd is the command `apply FILE`.
type ApplyCmd struct {
	File       string        `arg:"" type:"existingfile" help:"Configuration text."`
	Submission string        `help:"Submission ID of an earlier attempt whose outcome is unknown."`
	Operator   string        `help:"Unverified remark for the audit trail, shown next to the verified name of the token." env:"USER"`
	IfMatch    int64         `name:"if-match" default:"-1" help:"Epoch that the text is based on; -1 for the current one."`
	Wait       time.Duration `help:"Maximum time to wait until the text is in force; 0 does not wait."`
}

// Run submits the file and, with --wait, waits until it is in force.
func (c *ApplyCmd) Run(env *Context) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.Submission != "" && c.IfMatch < 0 {
		// With the current epoch as its base, the retry would be a new change that reverts all changes made since.
		return &ExitError{Code: ExitFailure, Message: "--submission needs the --if-match of the first attempt"}
	}
	etag := `"` + strconv.FormatInt(c.IfMatch, 10) + `"`
	if c.IfMatch < 0 {
		if _, etag, err = env.fetchText(); err != nil {
			return err
		}
	}
	if c.Submission == "" {
		c.Submission = rand.Text()
	}
	retry := "repeat with --submission " + c.Submission + " --if-match " + trimETag(etag)
	result, err := env.submitText(raw, etag, c.Submission, c.Operator, retry)
	if err != nil {
		return err
	}
	return env.reportResult(result, c.Wait)
}

// submitText submits a text as a change of the one with the ETag. retry tells the operator what to do if the outcome is unknown.
func (env *Context) submitText(raw []byte, etag, submission, remark, retry string) (epoch.SubmitResult, error) {
	header := http.Header{"If-Match": {etag}, operator.SubmissionHeader: {submission}, operator.OperatorHeader: {remark}}
	var result epoch.SubmitResult
	body, _, err := env.sendRequest(http.MethodPut, "/v1/fleet", header, raw)
	if err != nil {
		return result, addRetryAdvice(err, retry)
	}
	return result, errors.Wrap(json.Unmarshal(body, &result), "answer")
}

// addRetryAdvice adds the advice for a retry to an error that leaves the outcome of the submission unknown.
func addRetryAdvice(err error, retry string) error {
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		if exitErr.Code == ExitInDoubt {
			exitErr.Message += "\n" + retry
		}
		return err
	}
	return &ExitError{Code: ExitInDoubt, Message: err.Error() + "\n" + retry}
}

// reportResult waits until an accepted text is in force, unless wait is 0, and prints the result.
func (env *Context) reportResult(result epoch.SubmitResult, wait time.Duration) error {
	if wait > 0 && !result.InForce {
		result.InForce = env.waitInForce(result.Epoch, wait)
	}
	if env.CLI.JSON {
		if err := env.printJSON(result); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(env.Out, "epoch %d accepted, in force: %t\n", result.Epoch, result.InForce)
		for _, w := range result.Warnings {
			fmt.Fprintf(env.Out, "warning: %s\n", w)
		}
	}
	if wait > 0 && !result.InForce {
		return &ExitError{Code: ExitPending, Message: "not in force yet; see bilberryctl status"}
	}
	return nil
}

// statusPollInterval is the time between status requests while waiting for a text to be in force.
const statusPollInterval = 200 * time.Millisecond

func (env *Context) waitInForce(wantEpoch int64, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		status, err := env.fetchStatus()
		if err == nil && status.Epoch >= wantEpoch && status.InForce {
			return true
		}
		time.Sleep(statusPollInterval)
	}
	return false
}

// StatusCmd is the command `status`.
type StatusCmd struct{}

// Run prints the fleet status, the nodes and the engines.
func (c *StatusCmd) Run(env *Context) error {
	status, err := env.fetchStatus()
	if err != nil {
		return err
	}
	if env.CLI.JSON {
		return env.printJSON(status)
	}
	env.printSummary(status)
	if err := env.printNodes(status.Nodes); err != nil {
		return err
	}
	return env.printEngines(status.Nodes)
}

func (env *Context) printSummary(status operator.Status) {
	fmt.Fprintf(env.Out, "epoch %d, in force: %t, evidence fresh: %t\n", status.Epoch, status.InForce, status.Fresh)
	if len(status.Unconfirmed) > 0 {
		fmt.Fprintf(env.Out, "unconfirmed: %s\n", strings.Join(status.Unconfirmed, ", "))
	}
	for _, d := range status.Evacuated {
		fmt.Fprintf(env.Out, "evacuated %s: %d endpoints\n", d.Name, d.Endpoints)
	}
	for _, r := range status.Recalls {
		state := "some nodes may still start answers from it"
		if r.Stopped {
			state = "no node can start an answer from it"
		}
		if len(r.Loaded) > 0 {
			state += "; still loaded at " + strings.Join(r.Loaded, ", ")
		}
		fmt.Fprintf(env.Out, "recalled %s: %s\n", r.Name, state)
	}
	for _, r := range status.Rollouts {
		fmt.Fprintf(env.Out, "rollout of %s: held by %d of %d endpoints", r.Version, r.HoldingEndpoints, r.AssignedEndpoints)
		if len(r.Faults) > 0 {
			fmt.Fprintf(env.Out, ", faults: %s", strings.Join(r.Faults, ", "))
		}
		fmt.Fprintln(env.Out)
	}
	for _, b := range status.Blamed {
		fmt.Fprintf(env.Out, "blamed prompt %s: crashed %s, refused until %s\n", b.Fingerprint, strings.Join(b.Endpoints, ", "),
			b.Until.Format(time.RFC3339))
	}
	for _, id := range status.InDoubt {
		fmt.Fprintf(env.Out, "in doubt: submission %s\n", id)
	}
	for _, w := range status.Warnings {
		fmt.Fprintf(env.Out, "warning: %s\n", w)
	}
}

func (env *Context) printNodes(nodes []epoch.NodeStatus) error {
	tab := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "\nNODE\tROLE\tFAILURE DOMAIN\tEPOCH\tHEARD\tSTATE")
	for _, n := range nodes {
		heard := "never"
		if n.LastHeardMs >= 0 {
			heard = (time.Duration(n.LastHeardMs) * time.Millisecond).String()
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%s\t%s\n", n.Name, n.Role, n.FailureDomain, n.Epoch, heard, nodeState(n))
	}
	return tab.Flush()
}

func nodeState(n epoch.NodeStatus) string {
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

// printEngines prints the versions that each engine has loaded and those that it is missing.
func (env *Context) printEngines(nodes []epoch.NodeStatus) error {
	tab := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "\nENGINE\tLOADED\tMISSING")
	for _, n := range nodes {
		if len(n.Loaded)+len(n.Missing) > 0 {
			fmt.Fprintf(tab, "%s\t%s\t%s\n", n.Endpoint, weightNames(n.Loaded), weightNames(n.Missing))
		}
	}
	return tab.Flush()
}

func weightNames(versions []endpoint.Version) string {
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

// AuditCmd is the command `audit`.
type AuditCmd struct {
	Limit   int    `default:"100" help:"Number of records to show, at most 1000: the newest, or with --after the first ones after a key."`
	After   string `help:"Show the records after the one with this key; 'audit/' starts at the oldest."`
	Details int    `default:"20" help:"Maximum number of details to show of each record; 0 shows all. JSON output always has all."`
}

// Run prints the audit trail, oldest first.
func (c *AuditCmd) Run(env *Context) error {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}, "after": {c.After}}
	body, _, err := env.sendRequest(http.MethodGet, "/v1/audit?"+query.Encode(), nil, nil)
	if err != nil {
		return err
	}
	var records []epoch.AuditRecord
	if err := json.Unmarshal(body, &records); err != nil {
		return errors.Wrap(err, "answer")
	}
	if env.CLI.JSON {
		return env.printJSON(records)
	}
	for _, r := range records {
		outcome := r.Outcome
		if r.Epoch > 0 {
			outcome += fmt.Sprintf("  epoch %d", r.Epoch)
		}
		fmt.Fprintf(env.Out, "%s  %s  base %d  by %s at %s  submission %s  key %s\n", r.Time.Format(time.RFC3339), outcome, r.BaseEpoch,
			operatorName(r), r.Node, r.Submission, r.Key)
		shown := r.Details
		if c.Details > 0 {
			shown = shown[:min(len(shown), c.Details)]
		}
		for _, d := range shown {
			fmt.Fprintf(env.Out, "    %s\n", d)
		}
		if hidden := len(r.Details) - len(shown); hidden > 0 {
			fmt.Fprintf(env.Out, "    and %d more\n", hidden)
		}
	}
	return nil
}

// operatorName returns the verified name of the token, followed by the unverified remark in quotes if there is one.
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

func (env *Context) printJSON(v any) error {
	enc := json.NewEncoder(env.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (env *Context) fetchStatus() (operator.Status, error) {
	var status operator.Status
	body, _, err := env.sendRequest(http.MethodGet, "/v1/fleet/status", nil, nil)
	if err != nil {
		return status, err
	}
	return status, errors.Wrap(json.Unmarshal(body, &status), "answer")
}

// fetchText returns the current text and its ETag. Before the first submission the text is empty and the ETag is "0".
func (env *Context) fetchText() (raw []byte, etag string, err error) {
	body, header, err := env.sendRequest(http.MethodGet, "/v1/fleet", nil, nil)
	if err != nil && header.Get("ETag") == `"0"` {
		return nil, `"0"`, nil
	}
	return body, header.Get("ETag"), err
}

func trimETag(etag string) string { return strings.Trim(etag, `"`) }

// sendRequest sends one request and returns the response body and headers. A status other than 200 is returned as an
// ExitError.
func (env *Context) sendRequest(method, path string, header http.Header, body []byte) ([]byte, http.Header, error) {
	baseURL, err := url.Parse(cmp.Or(env.CLI.Server, defaultServer))
	if err != nil {
		return nil, nil, errors.Wrap(err, "--server")
	}
	ctx, cancel := context.WithTimeout(context.Background(), env.CLI.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(baseURL.String(), "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+env.CLI.Token)
	resp, err := env.Client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, resp.Header, responseError(resp.Status, respBody)
	}
	return respBody, resp.Header, nil
}

// responseError returns an ExitError with the code and message for an error response.
func responseError(status string, respBody []byte) error {
	var body errkind.Body
	if err := json.Unmarshal(respBody, &body); err != nil || body.Error.Kind == "" {
		return &ExitError{Code: ExitFailure, Message: status}
	}
	exitErr := &ExitError{Code: ExitFailure, Message: string(body.Error.Kind) + ": " + body.Error.Message}
	for _, d := range body.Error.Details {
		exitErr.Message += "\n  " + d
	}
	switch body.Error.Kind {
	case errkind.FleetInvalid:
		exitErr.Code = ExitInvalid
	case errkind.EpochConflict:
		exitErr.Code = ExitConflict
	case errkind.AcceptanceUnknown:
		exitErr.Code = ExitInDoubt
	}
	return exitErr
}
