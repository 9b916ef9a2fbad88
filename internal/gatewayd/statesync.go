package gatewayd

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/evacuation"
	"github.com/bilberrylink/bilberrylink/exchange"
	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/registry"
)

// configFreshness is the time after a confirmation for which a configuration counts as the newest. It covers one long poll
// of the store and a margin.
const configFreshness = configPollTimeout + 1200*time.Millisecond

// stateSync applies data from the store and from peers to the configuration and the endpoint registry.
type stateSync struct {
	log      *logrus.Logger
	config   *catalog.CurrentSnapshot
	registry *registry.Registry
	// evacuation holds the operator's requests about failure domains, which come from the same table as the configuration.
	evacuation *evacuation.Tracker

	// onNews is called when this gateway has read something newer from the store, or when the store has become reachable or
	// unreachable. What came from a peer is no news for the others.
	onNews func()
	// gateways returns the addresses of the other gateways.
	gateways func() []string

	mu                   sync.Mutex
	tableUp              map[string]bool // by table; has no entry for a table before the first result of a call
	endpointsConfirmedAt time.Time       // when the store last confirmed the list of endpoints

	// compressMu is a lock of its own, since compressing takes long on a small VM and each datagram of the exchange needs mu.
	compressMu       sync.Mutex
	compressedConfig []byte // gzip form of the configuration of compressedEpoch, for peers
	compressedEpoch  int64
}

func newStateSync(log *logrus.Logger, registerer prometheus.Registerer) *stateSync {
	s := &stateSync{
		log: log, config: new(catalog.CurrentSnapshot), registry: registry.New(nil),
		tableUp: make(map[string]bool), onNews: func() {}, gateways: func() []string { return nil },
	}
	s.evacuation = evacuation.New(evacuation.Options{OnChange: s.registry.SetEvacuated, Log: log, Registerer: registerer})
	return s
}

// storeReachable reports whether the latest call for each table succeeded.
func (s *stateSync) storeReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tableUp) == watchedTables && s.noTableDown()
}

// storeAway reports whether the latest call for a table failed.
func (s *stateSync) storeAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.noTableDown()
}

// noTableDown reports whether no table is known to be unavailable.
func (s *stateSync) noTableDown() bool {
	for _, isUp := range s.tableUp {
		if !isUp {
			return false
		}
	}
	return true
}

// setTableUp records whether a table is available. It returns the previous state, whether there was one, and whether no
// table is known to be unavailable now.
func (s *stateSync) setTableUp(table string, isUp bool) (wasUp, known, allUp bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasUp, known = s.tableUp[table]
	s.tableUp[table] = isUp
	return wasUp, known, s.noTableDown()
}

// configCurrent reports whether the configuration was recently confirmed to be the newest.
func (s *stateSync) configCurrent() bool {
	return time.Since(s.config.ConfirmedAt()) < configFreshness
}

// markTableDown records that a call for a table failed. It logs only the first failure in a row.
func (s *stateSync) markTableDown(table string, err error) {
	wasUp, known, _ := s.setTableUp(table, false)
	s.registry.MarkStoreDown()
	if wasUp {
		s.onNews()
	}
	if wasUp || !known {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "store_lost", "table": table}).Warn("store does not respond")
	}
}

// markTableUp records that a call for a table succeeded. The registry counts the store as up once no table is down.
func (s *stateSync) markTableUp(table string) {
	wasUp, known, allUp := s.setTableUp(table, true)
	if allUp {
		s.registry.MarkStoreUp()
	}
	if known && !wasUp {
		s.onNews()
		s.log.WithFields(logrus.Fields{"event": "store_regained", "table": table}).Info("store responds again")
	}
}

// fromStore is the source of a configuration that was read from the store; others are names of peers.
const fromStore = "store"

// updateConfig decodes a configuration and uses it if it is newer than the current one. position is that of the store which included it, or 0.
func (s *stateSync) updateConfig(source []byte, from string, position int64) {
	snapshot, err := platform.DecodeConfig(source)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "config_invalid", "from": from}).Error("ignoring invalid configuration")
		return
	}
	if s.config.Adopt(snapshot, source) {
		if from == fromStore {
			s.onNews()
		}
		s.log.WithFields(logrus.Fields{"event": "config_adopted", "epoch": snapshot.Epoch, "from": from,
			"position": registry.FormatPosition(position)}).
			Info("configuration is in force")
	}
}

// replaceOperatorRows applies all rows of the operator's table at a version of the store.
func (s *stateSync) replaceOperatorRows(rows []platform.Row, version int64) {
	list := evacuation.List{Position: version}
	for _, c := range evacuationChanges(rows, version) {
		list.FailureDomains = append(list.FailureDomains, c.FailureDomain)
	}
	s.evacuation.Replace(list)
	s.applyConfigRows(rows, version)
}

// updateOperatorRows applies changed rows of the operator's table, up to a version of the store.
func (s *stateSync) updateOperatorRows(rows []platform.Row, version int64) {
	s.evacuation.Update(evacuationChanges(rows, version), version)
	s.applyConfigRows(rows, version)
}

// evacuationChanges returns the changes to evacuations among the rows of the operator's table.
func evacuationChanges(rows []platform.Row, version int64) (changes []evacuation.Change) {
	for _, row := range rows {
		if c, ok := row.Evacuation(version); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func (s *stateSync) applyConfigRows(rows []platform.Row, version int64) {
	for _, row := range rows {
		if row.IsConfig() {
			s.updateConfig(row.Value, fromStore, version)
		}
	}
}

// decodeEndpoint decodes a row of the endpoint table. It logs invalid rows.
func (s *stateSync) decodeEndpoint(row platform.Row) (registry.Entry, bool) {
	e, err := platform.DecodeEndpoint(row)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "endpoint_malformed", "endpoint": row.Key,
			"position": registry.FormatPosition(row.Version)}).
			Warn("invalid row in the endpoint table")
	}
	return e, err == nil
}

// replaceEndpoints applies all rows of the endpoint table at a version of the store.
func (s *stateSync) replaceEndpoints(rows []platform.Row, version int64) {
	var entries []registry.Entry
	for _, row := range rows {
		if e, ok := s.decodeEndpoint(row); ok {
			entries = append(entries, e)
		}
	}
	changed := 0
	s.registry.ApplyVersion(version, func() { changed = s.registry.Replace(entries, version) })
	s.onNews()
	s.log.WithFields(logrus.Fields{"event": "endpoints_read", "listed": len(entries), "changed": changed,
		"position": registry.FormatPosition(version)}).
		Info("endpoints read from the store")
}

// updateEndpoints applies changed rows of the endpoint table, up to a version of the store.
func (s *stateSync) updateEndpoints(rows []platform.Row, version int64) {
	s.registry.ApplyVersion(version, func() { s.applyEndpointRows(rows) })
	s.onNews()
}

func (s *stateSync) applyEndpointRows(rows []platform.Row) {
	var removed []string
	version := s.registry.Version()
	for _, row := range rows {
		if row.Version == 0 {
			row.Version = version + 1 // rows come in the order of their changes
		}
		version = max(version, row.Version)
		if row.Removed {
			removed = append(removed, row.Key)
			s.registry.Remove(row.Version, row.Key)
			continue
		}
		if e, ok := s.decodeEndpoint(row); ok && s.registry.Upsert(e) {
			s.log.WithFields(logrus.Fields{"event": "endpoint_changed", "endpoint": e.ID, "service": e.Service,
				"draining": e.Draining, "position": registry.FormatPosition(row.Version)}).Info("endpoint added or changed")
		}
	}
	if len(removed) > 0 {
		s.log.WithFields(logrus.Fields{"event": "endpoints_removed", "endpoints": removed}).Info("endpoints removed from the store")
	}
}

// applyEndpointsOfPeer applies the list of endpoints of a peer.
func (s *stateSync) applyEndpointsOfPeer(d registry.Delta, peer string) {
	ownVersion := s.registry.Version()
	changed, applied := s.registry.ApplyDelta(d)
	if changed > 0 || !applied {
		s.log.WithFields(logrus.Fields{"event": "endpoints_from_peer", "peer": peer, "position": registry.FormatPosition(d.Version),
			"since": registry.FormatPosition(d.Since), "own_position": registry.FormatPosition(ownVersion),
			"changed": changed, "removed": len(d.Removed), "taken": applied}).
			Info("endpoints received from a peer")
	}
}

// confirmEndpoints records that the list of endpoints was complete at the given time.
func (s *stateSync) confirmEndpoints(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.endpointsConfirmedAt) {
		s.endpointsConfirmedAt = at
	}
}

// confirmedAt returns when the store last confirmed both the configuration and the list of endpoints; zero: never.
func (s *stateSync) confirmedAt() time.Time {
	configAt := s.config.ConfirmedAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	if configAt.Before(s.endpointsConfirmedAt) {
		return configAt
	}
	return s.endpointsConfirmedAt
}

// versions returns what this gateway holds, as its peers learn it.
func (s *stateSync) versions() exchange.Versions {
	_, epoch := s.config.Source()
	return exchange.Versions{
		Epoch: epoch, Endpoints: s.registry.Version(), EndpointsChanged: s.registry.ChangedVersion(), ConfirmedAt: s.confirmedAt(),
		OutageEndedAt: s.registry.OutageEndedAt(), StoreReachable: s.storeReachable(),
	}
}

// stateFor returns what a peer that has sent the query lacks.
func (s *stateSync) stateFor(q exchange.StateQuery) exchange.State {
	source, epoch := s.config.Source()
	state := exchange.State{Epoch: epoch, Endpoints: s.registry.DeltaSince(q.EndpointsVersion)}
	if q.WantsGateways {
		state.Gateways = s.gateways()
	}
	if epoch > q.Epoch {
		state.Config = s.compressed(source, epoch)
	}
	return state
}

// compressed returns the gzip form of a configuration. Many peers fetch the same one.
func (s *stateSync) compressed(source []byte, epoch int64) []byte {
	s.compressMu.Lock()
	defer s.compressMu.Unlock()
	if s.compressedEpoch != epoch {
		s.compressedEpoch, s.compressedConfig = epoch, exchange.Compress(source)
	}
	return s.compressedConfig
}
