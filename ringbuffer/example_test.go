package ringbuffer_test

import (
	"context"
	"fmt"

	"github.com/bilberrylink/bilberrylink/ringbuffer"
)

func ExampleBuffer() {
	buffer := ringbuffer.New[string](1)
	fmt.Println(buffer.Push("first"), buffer.Push("second"))
	element, err := buffer.Pop(context.Background())
	fmt.Println(element, err)
	// Output:
	// <nil> ringbuffer: full
	// first <nil>
}
