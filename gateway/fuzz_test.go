package gateway

import (
	"bytes"
	"testing"
)

// However a stream is cut into reads, the splitter must pass on the same complete events, and never more than has arrived.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3"), 4)
	f.Add([]byte("\n\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		size = max(size%64, 1)
		var whole, pieces EventSplitter
		var want, got []byte
		for _, e := range whole.Push(stream) {
			want = append(want, e.Raw...)
		}
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			for _, e := range pieces.Push(rest[:n]) {
				got = append(got, e.Raw...)
			}
			rest = rest[n:]
		}
		if !bytes.Equal(append(got, pieces.Rest()...), stream) || !bytes.Equal(append(want, whole.Rest()...), stream) {
			t.Fatal("bytes were lost or added")
		}
	})
}
