package errkind_test

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
)

func ExampleResponse() {
	err := errors.Wrap(errkind.New(errkind.KeyRequired, "this call needs a key"), "check order")
	status, body := errkind.Response(err)
	fmt.Println(status, body.Error.Kind, body.Error.RunState)
	// Output: 400 key_required not_run
}
