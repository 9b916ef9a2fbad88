package stream_test

import (
	"bytes"
	"context"
	"fmt"

	"github.com/bilberrylink/bilberrylink/stream"
	"github.com/bilberrylink/bilberrylink/wire"
)

// An answer is read over two connections: the first one breaks, and the second one continues at the first missing frame.
func ExampleReader_Attach() {
	answer := stream.NewSendBuffer("request", "attempt")
	for i, text := range []string{"well", " sewn"} {
		_ = answer.Append(&wire.Frame{Payload: &wire.Frame_Token{Token: &wire.Token{Index: int64(i), Text: text}}})
	}
	_ = answer.Finish(&wire.End{CompletionTokens: 2})
	load := func() *wire.Load { return nil }

	var first, second bytes.Buffer
	_ = answer.Serve(context.Background(), stream.NewWriter(&first, nil), 0, load)
	first.Truncate(first.Len() - 10)

	reader := stream.NewReader("request", "attempt")
	reader.Attach(&first)
	for {
		frame, err := reader.Recv()
		if err != nil {
			fmt.Println("resume at", reader.NextSequence())
			_ = answer.Serve(context.Background(), stream.NewWriter(&second, nil), reader.NextSequence(), load)
			reader.Attach(&second)
			continue
		}
		if end := frame.GetEnd(); end != nil {
			fmt.Println("complete after", end.GetFrames(), "frames")
			return
		}
		fmt.Printf("%q\n", frame.GetToken().GetText())
	}
	// Output:
	// "well"
	// " sewn"
	// resume at 2
	// complete after 2 frames
}
