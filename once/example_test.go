package once_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/standin"
	"github.com/bilberrylink/bilberrylink/once"
)

// A second call with the same key gets the recorded answer: its attempt expects an older version of the row, so it cannot
// start.
func ExampleStore() {
	platform := standin.New(standin.Options{})
	defer platform.Close()
	services := platform.ServicesFrom("")
	store := once.New(once.Options{Table: services.Table, Objects: services.Objects})

	ctx := context.Background()
	attempt := once.Attempt{Workspace: "order-desk", Key: "order-17", ID: "a1", Deadline: time.Now().Add(time.Minute)}
	result, claim, err := store.Begin(ctx, attempt)
	fmt.Println(result.State, err)
	if err := store.Finish(ctx, claim, once.Answer{Status: http.StatusCreated}); err != nil {
		fmt.Println(err)
	}

	attempt.ID = "a2"
	result, _, err = store.Begin(ctx, attempt)
	fmt.Println(result.State, result.Answer.Status, err)
	// Output:
	// started <nil>
	// replay 201 <nil>
}
