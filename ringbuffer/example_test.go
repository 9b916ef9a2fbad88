package ringbuffer_test

import (
	"context"
	"fmt"

	"github.com/bilberrylink/bilberrylink/ringbuffer"
)

func ExampleBuffer() {
	r := ringbuffer.New[string](1)
	fmt.Println(r.Push("first"), r.Push("second"))
	v, err := r.Pop(context.Background())
	fmt.Println(v, err)
	// Output:
	// <nil> ring: full
	// first <nil>
}
