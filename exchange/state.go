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

// Limits of a transfer of state.
const (
	stateTimeout = time.Second
	maxState     = 16 << 20 // bytes
)

// State is what a gateway that cannot reach the store takes from one that can.
type State struct {
	Epoch             int64            `json:"epoch"`
	Config            []byte           `json:"config"`  // as the store holds it
	EndpointsComplete bool             `json:"settled"` // the store is up and lists all live endpoints
	Endpoints         []registry.Entry `json:"endpoints"`
	StoreVersion      int64            `json:"version"` // of the store, up to which the endpoints are known
}

// StateHandler serves the own state to peers.
func StateHandler(state func() State) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state()) // a peer that has left is not told
	}).Methods(http.MethodGet)
	return router
}

// FetchState returns the state of the peer at addr.
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&s)
	return s, errors.Wrap(err, "peer state")
}
