package ctl

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/fleet"
)

// CheckCmd is the command `check FILE`.
type CheckCmd struct {
	File   string `arg:"" type:"existingfile" help:"Configuration text."`
	Strict bool   `help:"Exit with code 2 also for entries that are valid but have no effect or contradict others."`
}

// checkResult is the JSON output of the command.
type checkResult struct {
	Valid       bool          `json:"valid"`
	Faults      []fleet.Fault `json:"faults"`
	Findings    []fleet.Fault `json:"findings"`
	Warnings    []string      `json:"warnings"`
	ComparedTo  string        `json:"compared_to,omitempty"` // epoch of the current text
	Differences []string      `json:"differences,omitempty"` // from the current text, as fleet.Diff returns them
}

// Run checks the file by itself and, if a server is given, as the successor of the current text.
func (c *CheckCmd) Run(env *Context) error {
	return c.run(env, env.CLI.Server != "")
}

func (c *CheckCmd) run(env *Context, compare bool) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var current *fleet.Text
	var etag string
	if compare {
		if current, etag, err = env.fetchParsedText(); err != nil {
			return err
		}
	}
	report := fleet.Validate(1, raw, current)
	result := checkResult{Valid: report.Snapshot != nil, Faults: report.Faults, Findings: report.Findings, Warnings: report.Warnings}
	if compare && result.Valid {
		result.ComparedTo, result.Differences = etag, fleet.Diff(current, report.Snapshot.Text)
	}
	if env.CLI.JSON {
		err = env.printJSON(result)
	} else {
		c.print(env, result)
	}
	switch {
	case err != nil:
		return err
	case !result.Valid:
		return faultsError(result.Faults)
	case c.Strict && len(result.Findings) > 0:
		return &ExitError{Code: ExitInvalid, Message: fmt.Sprintf("%d entries have no effect or contradict others", len(result.Findings))}
	}
	return nil
}

func (c *CheckCmd) print(env *Context, result checkResult) {
	env.printFaults(c.File, "", result.Faults)
	env.printFaults(c.File, "warning: ", result.Findings)
	for _, w := range result.Warnings {
		fmt.Fprintf(env.Out, "warning: %s\n", w)
	}
	if result.Valid {
		fmt.Fprintf(env.Out, "%s: valid\n", c.File)
	}
	if result.ComparedTo == "" {
		return
	}
	fmt.Fprintf(env.Out, "%d differences from epoch %s\n", len(result.Differences), result.ComparedTo)
	for _, d := range result.Differences {
		fmt.Fprintln(env.Out, d)
	}
}

// printFaults prints faults with their lines; prefix is printed before each message.
func (env *Context) printFaults(file, prefix string, faults []fleet.Fault) {
	for _, f := range faults {
		fmt.Fprintf(env.Out, "%s:%d: %s%s\n", file, f.Line, prefix, f.Message)
	}
}

func faultsError(faults []fleet.Fault) error {
	return &ExitError{Code: ExitInvalid, Message: fmt.Sprintf("%d faults", len(faults))}
}

// fetchParsedText returns the current text, which is empty before the first submission, and its epoch.
func (env *Context) fetchParsedText() (text *fleet.Text, number string, err error) {
	raw, etag, err := env.fetchText()
	if err != nil {
		return nil, "", err
	}
	text, faults := fleet.Parse(raw)
	if len(faults) > 0 {
		return nil, "", errors.Errorf("current text: %s", faults[0])
	}
	return text, trimETag(etag), nil
}

// ValidateCmd is the command `validate FILE`, which is `check FILE` without a server, also if --server is given.
type ValidateCmd struct{ CheckCmd }

// Run checks the file by itself.
func (c *ValidateCmd) Run(env *Context) error { return c.run(env, false) }
