package ring_test

import (
	"context"
	"fmt"

	"github.com/bilberrylink/bilberrylink/ring"
)

func ExampleRing() {
	r := ring.New[string](1)
	fmt.Println(r.Push("first"), r.Push("second"))
	v, err := r.Pop(context.Background())
	fmt.Println(v, err)
	// Output:
	// <nil> ring: full
	// first <nil>
}
