package errkind_test

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
)

func ExampleAnswer() {
	err := errors.Wrap(errkind.New(errkind.KeyRequired, "this call needs a key"), "check order")
	status, body := errkind.Answer(err)
	fmt.Println(status, body.Error.Kind, body.Error.Run)
	// Output: 400 key_required not_run
}
