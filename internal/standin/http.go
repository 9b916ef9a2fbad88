package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/cloud/cloudhttp"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/endpoint/endpointhttp"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// Paths of the control interface and of the emulated endpoints.
const (
	PathFaults    = "/faults"    // GET, PUT
	PathCounters  = "/counters"  // GET
	PathEndpoints = "/endpoints" // GET
	PathVM        = "/vms"       // PUT adds or replaces VMs, DELETE removes the one in the query parameter name
	PathEngine    = "/engines/"  // followed by the endpoint's name
	PathService   = "/services/" // followed by the endpoint's name
)

// Handler serves the platform, the endpoints and the control interface over HTTP.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	p.controlRoutes(r)
	p.platformRoutes(r)
	p.engineRoutes(r)
	p.serviceRoutes(r)
	return r
}

func (p *Platform) controlRoutes(r *mux.Router) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc(PathFaults, p.getFaults).Methods(http.MethodGet)
	r.HandleFunc(PathFaults, p.putFaults).Methods(http.MethodPut)
	r.HandleFunc(PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.counters.Snapshot())
	}).Methods(http.MethodGet)
	r.HandleFunc(PathEndpoints, p.getEndpoints).Methods(http.MethodGet)
	r.HandleFunc(PathVM, p.putVMs).Methods(http.MethodPut)
	r.HandleFunc(PathVM, func(w http.ResponseWriter, req *http.Request) {
		p.RemoveVM(req.URL.Query().Get("name"))
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
}

// EndpointInfo describes an emulated endpoint.
type EndpointInfo struct {
	Name string `json:"name"`
	Kind string `json:"kind"` // fleet.KindModel or fleet.KindPlain
}

func (p *Platform) getEndpoints(w http.ResponseWriter, _ *http.Request) {
	infos := []EndpointInfo{}
	for _, name := range p.Endpoints() {
		kind := fleet.KindPlain
		if p.Engine(name) != nil {
			kind = fleet.KindModel
		}
		infos = append(infos, EndpointInfo{Name: name, Kind: kind})
	}
	writeJSON(w, http.StatusOK, infos)
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.faults.Describe())
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		return
	}
	if err = p.faults.Merge(data); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, map[string]string{"error": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, p.faults.State())
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var list cloudhttp.VMListResponse
	if !readJSON(w, r, &list) {
		return
	}
	for _, vm := range list.VMs {
		p.SetVM(vm)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) platformRoutes(r *mux.Router) {
	r.HandleFunc(cloudhttp.PathRow, p.getRow).Methods(http.MethodGet)
	r.HandleFunc(cloudhttp.PathCommit, p.postCommit).Methods(http.MethodPost)
	r.HandleFunc(cloudhttp.PathScan, p.getScan).Methods(http.MethodGet)
	r.HandleFunc(cloudhttp.PathObject, p.getObject).Methods(http.MethodGet)
	r.HandleFunc(cloudhttp.PathObject, p.putObject).Methods(http.MethodPut)
	r.HandleFunc(cloudhttp.PathWeights, p.postWeights).Methods(http.MethodPost)
	r.HandleFunc(cloudhttp.PathVMs, p.getVMs).Methods(http.MethodGet)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.table.Get(r.Context(), r.URL.Query().Get("key"))
	writePlatformResponse(w, row, err)
}

// postCommit aborts the connection when the answer is to be lost, as a real network failure would.
func (p *Platform) postCommit(w http.ResponseWriter, r *http.Request) {
	var commit cloudhttp.CommitRequest
	if !readJSON(w, r, &commit) {
		return
	}
	rows, err := p.table.Commit(r.Context(), commit.Writes...)
	if errors.Is(err, cloud.ErrInDoubt) {
		panic(http.ErrAbortHandler)
	}
	writePlatformResponse(w, cloudhttp.RowsResponse{Rows: rows}, err)
}

func (p *Platform) getScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit must be a number", http.StatusBadRequest)
		return
	}
	rows, err := p.table.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	writePlatformResponse(w, cloudhttp.RowsResponse{Rows: rows}, err)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.objects.Get(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		writePlatformResponse(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data) // on an error the client sees a truncated body
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		return
	}
	writePlatformResponse(w, struct{}{}, p.objects.Put(r.Context(), r.URL.Query().Get("name"), data))
}

func (p *Platform) postWeights(w http.ResponseWriter, r *http.Request) {
	ticket, err := p.weights.IssueTicket(r.Context(), r.URL.Query().Get("name"))
	writePlatformResponse(w, cloudhttp.TicketResponse{Ticket: ticket}, err)
}

func (p *Platform) getVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := p.vms.List(r.Context())
	writePlatformResponse(w, cloudhttp.VMListResponse{VMs: vms}, err)
}

func writePlatformResponse(w http.ResponseWriter, v any, err error) {
	if err != nil {
		status, f := cloudhttp.EncodeError(err)
		writeJSON(w, status, f)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func (p *Platform) engineRoutes(r *mux.Router) {
	sub := r.PathPrefix(PathEngine + "{endpoint}").Subrouter()
	handle := func(path, method string, fn func(*Engine, http.ResponseWriter, *http.Request)) {
		sub.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			e := p.Engine(mux.Vars(r)["endpoint"])
			if e == nil {
				writeEndpointResponse(w, nil, endpoint.ErrDown)
				return
			}
			fn(e, w, r)
		}).Methods(method)
	}
	handle(endpointhttp.PathGenerate, http.MethodPost, postGenerate)
	handle(endpointhttp.PathResume, http.MethodGet, getResume)
	handle(endpointhttp.PathCancel, http.MethodPost, func(e *Engine, w http.ResponseWriter, r *http.Request) {
		writeEndpointResponse(w, struct{}{}, e.Cancel(r.Context(), r.URL.Query().Get("id")))
	})
	handle(endpointhttp.PathPrefill, http.MethodPost, postPrefill)
	handle(endpointhttp.PathOrder, http.MethodPost, postOrder)
	handle(endpointhttp.PathReport, http.MethodGet, func(e *Engine, w http.ResponseWriter, r *http.Request) {
		report, err := e.Report(r.Context())
		writeEndpointResponse(w, report, err)
	})
	handle(endpointhttp.PathCacheEvents, http.MethodGet, getCacheEvents)
}

func postGenerate(e *Engine, w http.ResponseWriter, r *http.Request) {
	var g endpoint.GenerateRequest
	if !readJSON(w, r, &g) {
		return
	}
	s, err := e.Generate(r.Context(), g)
	writeTokenStream(w, s, err)
}

func getResume(e *Engine, w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, "from must be a number", http.StatusBadRequest)
		return
	}
	s, err := e.Resume(r.Context(), r.URL.Query().Get("stream"), from)
	writeTokenStream(w, s, err)
}

// writeTokenStream writes the tokens as server-sent events until the stream ends or the client disconnects.
func writeTokenStream(w http.ResponseWriter, s endpoint.TokenStream, err error) {
	if err != nil {
		writeEndpointResponse(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // a disconnected client cancels the context of Recv
	for err == nil {
		var token endpoint.Token
		token, err = s.Recv()
		switch {
		case err == nil:
			err = writeEvent(w, endpointhttp.EventToken, token)
		case errors.Is(err, io.EOF):
			_ = writeEvent(w, endpointhttp.EventEnd, s.Usage())
		default:
			_, f := endpointhttp.EncodeError(err)
			_ = writeEvent(w, endpointhttp.EventError, f)
		}
		_ = flusher.Flush()
	}
}

func writeEvent(w io.Writer, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "event")
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
	return errors.Wrap(err, "event")
}

func postPrefill(e *Engine, w http.ResponseWriter, r *http.Request) {
	var s endpoint.PrefillRequest
	if !readJSON(w, r, &s) {
		return
	}
	h, err := e.Prefill(r.Context(), s)
	writeEndpointResponse(w, h, err)
}

func postOrder(e *Engine, w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if !readJSON(w, r, &o) {
		return
	}
	writeEndpointResponse(w, struct{}{}, e.ApplyOrder(r.Context(), o))
}

func getCacheEvents(e *Engine, w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	events, err := e.CacheEvents(r.Context(), after)
	writeEndpointResponse(w, events, err)
}

func (p *Platform) serviceRoutes(r *mux.Router) {
	sub := r.PathPrefix(PathService + "{endpoint}").Subrouter()
	sub.HandleFunc(endpointhttp.PathHealth, func(w http.ResponseWriter, r *http.Request) {
		s := p.Service(mux.Vars(r)["endpoint"])
		if s == nil {
			writeEndpointResponse(w, nil, endpoint.ErrDown)
			return
		}
		writeEndpointResponse(w, struct{}{}, s.CheckHealth(r.Context()))
	}).Methods(http.MethodGet)
	sub.PathPrefix(endpointhttp.PathCall + "/").HandlerFunc(p.serveCall)
}

func (p *Platform) serveCall(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["endpoint"]
	s := p.Service(name)
	if s == nil {
		writeEndpointResponse(w, nil, endpoint.ErrDown)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		return
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), PathService+name+endpointhttp.PathCall)
	resp, err := s.Do(r.Context(), endpoint.Call{Method: r.Method, Path: path, Header: r.Header, Body: body})
	if err != nil {
		writeEndpointResponse(w, nil, err)
		return
	}
	for key, values := range resp.Header {
		w.Header()[key] = values
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // on an error the client sees a truncated body
}

func writeEndpointResponse(w http.ResponseWriter, v any, err error) {
	if err != nil {
		status, f := endpointhttp.EncodeError(err)
		w.Header().Set(endpointhttp.HeaderFailure, f.Code)
		writeJSON(w, status, f)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, cloudhttp.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return data, err
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := readBody(w, r)
	if err != nil {
		return false
	}
	if err = json.Unmarshal(data, into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // on an error the client sees a truncated body
}
