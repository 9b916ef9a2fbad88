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

// connectDefault is used when Options.Connect is nil. It is the only place that constructs the peer, the acceptor, the
// operators' handler and the at-most-once records.
func connectDefault(params ComponentParams) (Components, error) {
	exchange, err := newExchange(params)
	if err != nil {
		return Components{}, err
	}
	o := params.Options
	acceptor := epoch.NewAcceptor(epoch.AcceptorOptions{
		Node: o.Node.Name, Services: o.Platform, Store: exchange.EpochStore(), Cluster: exchange, Log: params.Log,
	})
	records := idempotency.New(idempotency.Options{
		Table: o.Platform.Table, Objects: o.Platform.Objects, TTL: recordTTL(exchange.EpochStore()),
		Log: params.Log, Registerer: params.Registerer,
	})
	operators := operator.New(operator.Options{Acceptor: acceptor, TokenHashes: o.OperatorTokenHashes,
		Blamed: params.BlamedPrompts, Log: params.Log})
	return Components{
		Epochs:          exchange.EpochStore(),
		Members:         exchange.Members(),
		Idempotency:     onceRecords{records},
		OperatorRoutes:  []func(*mux.Router){operators.Register},
		InternalHandler: wire.NewPeerServer(exchange),
		BackgroundJobs:  []func(context.Context) error{exchange.Run, acceptor.Run, records.Run},
	}, nil
}

func newExchange(params ComponentParams) (*peer.Peer, error) {
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
		Blames:        blameRecords{params.Blames},
		Log:           params.Log,
		Registerer:    params.Registerer,
	})
}

// recordTTL returns the configured life of an at-most-once record.
func recordTTL(view epoch.View) func() time.Duration {
	return func() time.Duration {
		if s := view.Snapshot(); s != nil {
			return s.Text.Settings.IdempotencyTTL
		}
		return fleet.DefaultIdempotencyTTL
	}
}

// blameRecords adapts the tracker of suspects to the exchange.
type blameRecords struct{ sink blame.Gossip }

// Outgoing implements peer.BlameSink.
func (b blameRecords) Outgoing(limit int) []*wire.BlameRecord {
	pending := b.sink.RecentRecords()
	return pending[:min(limit, len(pending))]
}

// Merge implements peer.BlameSink.
func (b blameRecords) Merge(records []*wire.BlameRecord) { b.sink.MergeRecords(records) }

// onceRecords adapts the at-most-once records of package once.
type onceRecords struct{ store *idempotency.Store }

// refuseDeadline is recorded with a refusal, which never starts; the store requires a deadline.
const refuseDeadline = time.Minute

// Refuse implements OnceStore.
func (o onceRecords) Refuse(ctx context.Context, workspace, key string, expect int64, attemptID string) (IdempotencyRecord, error) {
	result, _, err := o.store.Refuse(ctx, idempotency.Attempt{Workspace: workspace, Key: key, ID: attemptID, ExpectedVersion: expect,
		Deadline: time.Now().Add(refuseDeadline)})
	return onceRecord(result), err
}

// Lookup implements OnceStore.
func (o onceRecords) Lookup(ctx context.Context, workspace, key string) (IdempotencyRecord, error) {
	result, err := o.store.Lookup(ctx, workspace, key, "")
	return onceRecord(result), err
}

func onceRecord(r idempotency.Result) IdempotencyRecord {
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
