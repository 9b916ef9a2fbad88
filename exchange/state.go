package exchange

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/registry"
)

const (
	stateTimeout  = time.Second
	maxStateBytes = 16 << 20
)

// State is the configuration and the endpoints that a gateway without access to the store fetches from a peer.
type State struct {
	Epoch             int64            `json:"epoch"`
	Config            []byte           `json:"config"`  // as stored
	EndpointsComplete bool             `json:"settled"` // whether the store is up and Endpoints lists all live endpoints
	Endpoints         []registry.Entry `json:"endpoints"`
	StoreVersion      int64            `json:"version"` // store version that Endpoints is at least as new as
}

// StateHandler serves this gateway's state to peers.
func StateHandler(state func() State) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state()) // fails only if the peer has disconnected
	}).Methods(http.MethodGet)
	return router
}

// FetchState requests the state of the peer at addr.
func FetchState(ctx context.Context, client *http.Client, addr string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var s State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/state", nil)
	if err != nil {
		return s, errors.Wrap(err, "peer state")
	}
	resp, err := client.Do(req)
	if err != nil {
		return s, errors.Wrap(err, "peer state")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Errorf("peer state: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&s)
	return s, errors.Wrap(err, "peer state")
}
