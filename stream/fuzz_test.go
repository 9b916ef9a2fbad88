package stream

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/bilberrylink/bilberrylink/wire"
)

// encodeAnswer returns the bytes that an agent writes for a complete answer.
func encodeAnswer(requestID string, texts ...string) []byte {
	var out bytes.Buffer
	digest := NewDigest()
	write := func(f *wire.Frame) {
		f.RequestId, f.AttemptId, f.Sequence = requestID, "a", digest.Frames()
		_, _ = protodelim.MarshalTo(&out, f) // a write to a buffer never fails
	}
	for i, text := range texts {
		f := &wire.Frame{Payload: &wire.Frame_Token{Token: &wire.Token{Index: int64(i), Text: text}}}
		write(f)
		_ = digest.Add(f) // marshalling a token never fails
	}
	write(&wire.Frame{Payload: &wire.Frame_End{End: &wire.End{Frames: digest.Frames(), Hash: digest.Sum()}}})
	return out.Bytes()
}

// Guards against bytes on a connection that make the Reader panic, read without end or deliver a frame of another
// request, and against an answer that is accepted as complete although its bytes were changed.
func FuzzReader(f *testing.F) {
	complete := encodeAnswer("r", "air", "bag", "bee")
	f.Add(complete)
	f.Add(complete[:len(complete)-3])
	f.Add(append(encodeAnswer("other", "air"), complete...))
	f.Add(bytes.Repeat(complete, 2))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader("r", "a")
		r.Attach(bytes.NewReader(data))
		digest := NewDigest()
		for range len(data) + 1 {
			frame, err := r.Recv()
			if err != nil {
				return
			}
			if frame.GetRequestId() != "r" || frame.GetAttemptId() != "a" {
				t.Fatalf("frame of request %q", frame.GetRequestId())
			}
			switch p := frame.GetPayload().(type) {
			case *wire.Frame_End:
				if p.End.GetFrames() != digest.Frames() || p.End.GetHash() != digest.Sum() {
					t.Fatalf("changed answer of %d frames accepted as complete", digest.Frames())
				}
				return
			case *wire.Frame_Heartbeat, *wire.Frame_Failure:
			default:
				if frame.GetSequence() != digest.Frames() {
					t.Fatalf("frame %d after %d frames", frame.GetSequence(), digest.Frames())
				}
				if err := digest.Add(frame); err != nil {
					t.Fatal(err)
				}
			}
		}
		t.Fatal("more frames than bytes")
	})
}
