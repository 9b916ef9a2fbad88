package idempotency_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/bilberrylink/bilberrylink/idempotency"
	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// A second call with the same key gets the recorded answer: its attempt expects an older version of the row, so it cannot
// start.
func ExampleStore() {
	platform := standin.New(standin.Options{})
	defer platform.Close()
	services := platform.ServicesFrom("")
	store := idempotency.New(idempotency.Options{Table: services.Table, Objects: services.Objects})

	ctx := context.Background()
	attempt := idempotency.Attempt{Workspace: "order-desk", Key: "order-17", ID: "a1", Deadline: time.Now().Add(time.Minute)}
	result, claim, err := store.Begin(ctx, attempt)
	fmt.Println(result.State, err)
	if err := store.Finish(ctx, claim, idempotency.Answer{Status: http.StatusCreated}); err != nil {
		fmt.Println(err)
	}

	attempt.ID = "a2"
	result, _, err = store.Begin(ctx, attempt)
	fmt.Println(result.State, result.Answer.Status, err)
	// Output:
	// started <nil>
	// replay 201 <nil>
}
