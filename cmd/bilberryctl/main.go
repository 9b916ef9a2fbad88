// Command bilberryctl is the operators' command line tool for configuration texts, fleet status and the audit trail.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/bilberrylink/bilberrylink/internal/ctl"
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

// maxAnswerBytes is far above the length of any answer of an entry.
const maxAnswerBytes = 64 << 20

func main() {
	var cli ctl.CLI
	kctx := settings.Parse(&cli, "bilberryctl", "Checks, compares and applies configuration texts, evacuates failure domains, and shows the fleet status and the audit trail.")
	err := kctx.Run(&ctl.Context{CLI: &cli, Out: os.Stdout, Client: transport.BoundBodies(http1.Client(nil), maxAnswerBytes)})
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "bilberryctl:", err)
	var exitErr *ctl.ExitError
	if errors.As(err, &exitErr) {
		os.Exit(exitErr.Code)
	}
	os.Exit(ctl.ExitFailure)
}
