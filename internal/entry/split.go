package entry

import (
	"context"

	"github.com/bilberrylink/bilberrylink/errkind"
)

func (d *dispatcher) tooLarge(*request) bool { return false }

func (d *dispatcher) split(context.Context, *request) error {
	return errkind.New(errkind.PromptTooLarge, "prompt is larger than one engine")
}
