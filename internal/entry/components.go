package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/idempotency"
	"github.com/bilberrylink/bilberrylink/internal/operator"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/peer"
	"github.com/bilberrylink/bilberrylink/wire"
)

// defaultComponents is the default of Options.NewComponents. It constructs the peer exchange, the acceptor of
// configurations, the operators' handler and the store of idempotency records.
func defaultComponents(params ComponentParams) (Components, error) {
	node, err := newPeer(params)
	if err != nil {
		return Components{}, err
	}
	o := params.Options
	acceptor := epoch.NewAcceptor(epoch.AcceptorOptions{
		Node: o.Node.Name, Services: o.Platform, Store: node.EpochStore(), Cluster: node, Log: params.Log,
	})
	records := idempotency.New(idempotency.Options{
		Table: o.Platform.Table, Objects: o.Platform.Objects, TTL: recordTTL(node.EpochStore()),
		Log: params.Log, Registerer: params.Registerer,
	})
	operators := operator.New(operator.Options{Acceptor: acceptor, TokenHashes: o.OperatorTokenHashes,
		Blamed: params.BlamedPrompts, Log: params.Log})
	return Components{
		Epochs:          node.EpochStore(),
		Members:         node.Members(),
		Idempotency:     idempotencyAdapter{records},
		OperatorRoutes:  []func(*mux.Router){operators.Register},
		InternalHandler: wire.NewPeerServer(node),
		BackgroundJobs:  []func(context.Context) error{node.Run, acceptor.Run, records.Run},
	}, nil
}

func newPeer(params ComponentParams) (*peer.Peer, error) {
	o := params.Options
	config, err := transport.ClientTLSConfig(o.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "TLS of the exchange")
	}
	return peer.New(peer.Options{
		Name:          o.Node.Name,
		Addr:          o.Node.Addr(),
		FailureDomain: o.Node.FailureDomain,
		Role:          cloud.RoleEntry,
		Incarnation:   uuid.NewString(),
		Seeds:         o.Seeds,
		Services:      o.Platform,
		Client:        transport.PeerClients(transport.NewHTTPClient(config, o.Dial), o.TLS.Enabled()),
		FillRecord:    func(r *wire.NodeRecord) { r.Leaving = params.Leaving() },
		Blames:        blameAdapter{params.Blames},
		Log:           params.Log,
		Registerer:    params.Registerer,
	})
}

// recordTTL returns a function that gives the configured lifetime of an idempotency record.
func recordTTL(view epoch.View) func() time.Duration {
	return func() time.Duration {
		if s := view.Snapshot(); s != nil {
			return s.Text.Settings.IdempotencyTTL
		}
		return fleet.DefaultIdempotencyTTL
	}
}

// blameAdapter adapts the blame tracker to the peer exchange.
type blameAdapter struct{ gossip blame.Gossip }

// RecentRecords implements peer.BlameStore.
func (a blameAdapter) RecentRecords(limit int) []*wire.BlameRecord {
	pending := a.gossip.RecentRecords()
	return pending[:min(limit, len(pending))]
}

// MergeRecords implements peer.BlameStore.
func (a blameAdapter) MergeRecords(records []*wire.BlameRecord) { a.gossip.MergeRecords(records) }

// idempotencyAdapter adapts idempotency.Store to IdempotencyStore.
type idempotencyAdapter struct{ store *idempotency.Store }

// refusalDeadline is the deadline recorded with a refusal. The store requires one, although a refused attempt never starts.
const refusalDeadline = time.Minute

// Refuse implements IdempotencyStore.
func (a idempotencyAdapter) Refuse(ctx context.Context, workspace, key string, expectedVersion int64,
	attemptID string) (IdempotencyRecord, error) {
	result, _, err := a.store.Refuse(ctx, idempotency.Attempt{Workspace: workspace, Key: key, ID: attemptID,
		ExpectedVersion: expectedVersion, Deadline: time.Now().Add(refusalDeadline)})
	return newIdempotencyRecord(result), err
}

// Lookup implements IdempotencyStore.
func (a idempotencyAdapter) Lookup(ctx context.Context, workspace, key string) (IdempotencyRecord, error) {
	result, err := a.store.Lookup(ctx, workspace, key, "")
	return newIdempotencyRecord(result), err
}

func newIdempotencyRecord(r idempotency.Result) IdempotencyRecord {
	record := IdempotencyRecord{Version: r.Version, AttemptID: r.AttemptID, RequestHash: r.RequestHash}
	switch r.State {
	case idempotency.Absent:
		record.State = IdempotencyAbsent
	case idempotency.Refused:
		record.State = IdempotencyRefused
	case idempotency.Replay:
		record.State = IdempotencyDone
		record.Response = callResponse(r.Answer)
	default:
		record.State = IdempotencyStarted
	}
	return record
}

func callResponse(a *idempotency.Answer) *wire.CallResponse {
	if a == nil {
		return nil
	}
	response := &wire.CallResponse{Status: int32(a.Status), Body: a.Body, Replayed: true}
	for name, values := range a.Header {
		response.Headers = append(response.Headers, &wire.Header{Name: name, Values: values})
	}
	return response
}
