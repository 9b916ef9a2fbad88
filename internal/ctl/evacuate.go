package ctl

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// EvacuateCmd is the command `evacuate DOMAIN`.
type EvacuateCmd struct {
	Domain   string        `arg:"" help:"Failure domain."`
	End      bool          `help:"End the evacuation of the domain."`
	Operator string        `help:"Unverified remark for the audit trail, shown next to the verified name of the token." env:"USER"`
	Wait     time.Duration `help:"Maximum time to wait until the change is in force; 0 does not wait."`
}

// Run changes settings.evacuated in the current text and submits it. If the list needs no change, it submits nothing.
func (c *EvacuateCmd) Run(env *Context) error {
	current, etag, err := env.fetchText()
	if err != nil {
		return err
	}
	if len(current) == 0 {
		return errors.New("the fleet has no configuration text yet")
	}
	next, err := fleet.SetEvacuated(current, c.Domain, !c.End)
	if err != nil {
		return &ExitError{Code: ExitInvalid, Message: err.Error()}
	}
	if bytes.Equal(current, next) {
		return c.reportUnchanged(env, etag)
	}
	// A repeated command needs no submission ID: it reads the text again and finds the change if it was accepted.
	result, err := env.submitText(next, etag, rand.Text(), c.Operator, "repeat the command")
	if err != nil {
		return err
	}
	return env.reportResult(result, c.Wait)
}

// reportUnchanged reports on the current text, to which the list already belongs.
func (c *EvacuateCmd) reportUnchanged(env *Context, etag string) error {
	number, err := strconv.ParseInt(trimETag(etag), 10, 64)
	if err != nil {
		return errors.Wrap(err, "ETag of the current text")
	}
	status, err := env.fetchStatus()
	if err != nil {
		return err
	}
	if !env.CLI.JSON {
		fmt.Fprintln(env.Out, "nothing to change")
	}
	return env.reportResult(epoch.SubmitResult{Epoch: number, InForce: status.Epoch >= number && status.InForce}, c.Wait)
}
