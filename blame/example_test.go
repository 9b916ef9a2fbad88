package blame_test

import (
	"context"
	"fmt"

	"github.com/bilberrylink/bilberrylink/blame"
)

// A prompt that was running when two endpoints crashed is blamed; another entry learns of it by exchanging records.
func ExampleTracker() {
	here, there := blame.New(blame.Options{}), blame.New(blame.Options{})
	ctx := context.Background()
	fmt.Println(here.RecordCrash(ctx, "prompt", "model-01") == blame.Suspect)
	fmt.Println(here.RecordCrash(ctx, "prompt", "model-02") == blame.Blamed)
	there.MergeRecords(here.RecentRecords())
	fmt.Println(there.Check("prompt") == blame.Blamed)
	// Output:
	// true
	// true
	// true
}
