package route_test

import (
	"fmt"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/wire"
)

func ExamplePolicy() {
	view := route.NewView(route.Options{IntN: func(int) int { return 0 }})
	pool := view.Pool([]string{"model-01", "model-02"})
	for i, e := range pool.Endpoints() {
		e.SetAvailable(true, false)
		view.Observe(&wire.Load{Endpoint: e.Name, Sequence: 1, PrefillRate: 10_000, KvFree: 400_000, KvCapacity: 400_000,
			QueuedPrefill: int64(50_000 * (1 - i)), QueuedInteractive: int64(50_000 * (1 - i))})
	}
	policy, err := route.NewPolicy(route.LeastTTFT)
	if err != nil {
		fmt.Println(err)
		return
	}
	choice, ok := policy.Choose(pool, &route.Request{Class: fleet.ClassInteractive, PromptTokens: 2000, Fingerprint: 1, Confined: true})
	fmt.Println(choice.Endpoint.Name, ok)
	// Output: model-02 true
}
