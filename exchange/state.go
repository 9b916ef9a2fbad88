package exchange

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/hedge"
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/registry"
)

const (
	stateTimeout = time.Second
	// stateLateAfter is the time after which a peer's response is late. The connection may be silent then.
	stateLateAfter = 300 * time.Millisecond
	maxStateBytes  = 16 << 20
)

// State is what a gateway fetches from a peer that holds a newer configuration or list of endpoints.
type State struct {
	Epoch     int64          `json:"epoch"`
	Config    []byte         `json:"config,omitempty"` // as stored, compressed by Compress; empty if the fetching gateway has it
	Endpoints registry.Delta `json:"endpoints"`
	Gateways  []string       `json:"gateways,omitempty"` // addresses of the gateways that the sender hears, if asked for
}

// StateQuery tells what the fetching gateway has.
type StateQuery struct {
	Epoch            int64 // of its configuration
	EndpointsVersion int64 // store version of its list of endpoints; 0: none
	WantsGateways    bool  // it cannot read the list of gateways in the store
}

// StateHandler serves this gateway's state to peers.
func StateHandler(state func(StateQuery) State) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/state", func(w http.ResponseWriter, req *http.Request) {
		var query StateQuery
		var epochErr, versionErr error
		query.Epoch, epochErr = strconv.ParseInt(req.FormValue("epoch"), 10, 64)
		query.EndpointsVersion, versionErr = strconv.ParseInt(req.FormValue("endpoints"), 10, 64)
		if epochErr != nil || versionErr != nil {
			http.Error(w, "epoch and endpoints must be numbers", http.StatusBadRequest)
			return
		}
		query.WantsGateways = req.FormValue("gateways") != ""
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state(query)) // fails only if the peer has disconnected
	}).Methods(http.MethodGet)
	return router
}

// StateClient fetches the state of peers.
type StateClient struct {
	pooled *http.Client
	single *http.Client // opens a connection for each call
}

// NewStateClient returns a StateClient. roundTripper carries the calls; nil: connections of its own.
func NewStateClient(roundTripper http.RoundTripper) *StateClient {
	if roundTripper == nil {
		roundTripper = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	}
	pooled := http1.Client(&http.Client{Transport: roundTripper})
	return &StateClient{pooled: pooled, single: transport.WithoutKeepAlives(pooled)}
}

// Fetch requests from the peer at addr what is newer there than query tells. by tells which connection brought the response.
func (c *StateClient) Fetch(ctx context.Context, addr string, query StateQuery) (s State, by hedge.Connection, err error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	s, by, err = hedge.Do(ctx, stateLateAfter, nil, func(ctx context.Context, conn hedge.Connection) (State, error) {
		if conn == hedge.New {
			return fetchState(ctx, c.single, addr, query)
		}
		return fetchState(ctx, c.pooled, addr, query)
	})
	if err == nil && by == hedge.New {
		c.pooled.CloseIdleConnections()
	}
	return s, by, err
}

func fetchState(ctx context.Context, client *http.Client, addr string, query StateQuery) (State, error) {
	var s State
	values := url.Values{"epoch": {strconv.FormatInt(query.Epoch, 10)}, "endpoints": {strconv.FormatInt(query.EndpointsVersion, 10)}}
	if query.WantsGateways {
		values.Set("gateways", "1")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/state?"+values.Encode(), nil)
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

// Compress returns the compressed form of a configuration. Configurations are repetitive, and one gateway on a small VM may send
// it to many others.
func Compress(source []byte) []byte {
	var buf bytes.Buffer
	w, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed) // the level is valid
	_, _ = w.Write(source)                            // a bytes.Buffer returns no errors
	_ = w.Close()
	return buf.Bytes()
}

// Decompress returns the configuration of a compressed form.
func Decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "compressed configuration")
	}
	source, err := io.ReadAll(io.LimitReader(r, maxStateBytes))
	return source, errors.Wrap(err, "compressed configuration")
}
