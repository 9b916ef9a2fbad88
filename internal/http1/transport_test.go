package http1

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// A client of net/http that may use HTTP/2, and has done so, must get HTTP/1.1 when it is made to accept valid responses only.
func TestClientUsesHTTP1(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { _, _ = w.Write([]byte(req.Proto)) }))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	for _, want := range []int{2, 1} {
		client := server.Client()
		if want == 1 {
			client = Client(client)
		}
		resp, err := client.Get(server.URL)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, resp.ProtoMajor)
		require.NotNil(t, resp.TLS)
	}
}
