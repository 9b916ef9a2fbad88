// Command bilberryctl is the operators' tool.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/bilberrylink/bilberrylink/internal/ctl"
	"github.com/bilberrylink/bilberrylink/internal/settings"
)

func main() {
	var cli ctl.CLI
	command := settings.Parse(&cli, "bilberryctl", "Validates, compares and applies configuration texts, and shows their status.")
	err := command.Run(&ctl.Context{CLI: &cli, Out: os.Stdout, Client: http.DefaultClient})
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "bilberryctl:", err)
	var exit *ctl.ExitError
	if errors.As(err, &exit) {
		os.Exit(exit.Code)
	}
	os.Exit(ctl.ExitFailure)
}
