package transport

import (
	"net/http"

	"github.com/bilberrylink/bilberrylink/wire"
)

// Scheme returns the URL scheme for calls between the system's own processes.
func Scheme(tls bool) string {
	if tls {
		return "https"
	}
	return "http"
}

// PeerClients returns a function that creates an exchange client for an address. All clients share one HTTP client. Exchanges merge states, so
// that one that is late is repeated.
func PeerClients(client *http.Client, tls bool) func(addr string) wire.Peer {
	client = RepeatLate(client, Any)
	return func(addr string) wire.Peer {
		return wire.NewPeerProtobufClient(Scheme(tls)+"://"+addr, client)
	}
}
