package gatewayd

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/exchange"
	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/registry"
)

// freshFor is the age up to which a configuration counts as the newest. It covers one call of the feed and its margin.
const freshFor = feedWait + 1200*time.Millisecond

// beliefs turns what the store and peers say into the catalog and the roster.
type beliefs struct {
	log     *logrus.Logger
	current *catalog.CurrentSnapshot
	roster  *registry.Registry

	mu sync.Mutex
	up map[string]bool // by table; a table that has never answered is missing
}

func newBeliefs(log *logrus.Logger) *beliefs {
	return &beliefs{
		log: log, current: new(catalog.CurrentSnapshot), roster: registry.New(nil),
		up: make(map[string]bool),
	}
}

// storeUp reports whether the latest calls for all tables were answered.
func (b *beliefs) storeUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.up) == watchedTables && b.noneLost()
}

// noneLost reports whether no table is known to be lost.
func (b *beliefs) noneLost() bool {
	for _, up := range b.up {
		if !up {
			return false
		}
	}
	return true
}

// set notes whether a table answers and returns what was believed before.
func (b *beliefs) set(table string, up bool) (was, known, allUp bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	was, known = b.up[table]
	b.up[table] = up
	return was, known, b.noneLost()
}

// configCurrent reports whether the configuration in force is known to be the newest.
func (b *beliefs) configCurrent() bool {
	return time.Since(b.current.ConfirmedAt()) < freshFor
}

func (b *beliefs) storeLost(table string, err error) {
	was, known, _ := b.set(table, false)
	b.roster.MarkStoreDown()
	if was || !known {
		b.log.WithError(err).WithFields(logrus.Fields{"event": "store_lost", "table": table}).Warn("store does not answer")
	}
}

func (b *beliefs) storeHeard(table string) {
	was, known, allUp := b.set(table, true)
	if allUp {
		b.roster.MarkStoreUp()
	}
	if known && !was {
		b.log.WithFields(logrus.Fields{"event": "store_regained", "table": table}).Info("store answers again")
	}
}

// adopt takes a configuration unless a newer one is in force.
func (b *beliefs) adopt(source []byte, from string) {
	s, err := platform.DecodeConfig(source)
	if err != nil {
		b.log.WithError(err).WithFields(logrus.Fields{"event": "config_invalid", "from": from}).Error("configuration not adopted")
		return
	}
	if b.current.Adopt(s, source) {
		b.log.WithFields(logrus.Fields{"event": "config_adopted", "epoch": s.Epoch, "from": from}).Info("configuration is in force")
	}
}

func (b *beliefs) configRows(rows []platform.Row) {
	for _, row := range rows {
		if row.IsConfig() {
			b.adopt(row.Value, "store")
		}
	}
}

// endpoint decodes a row and logs one that names no endpoint.
func (b *beliefs) endpoint(row platform.Row) (registry.Entry, bool) {
	e, ok := platform.DecodeEndpoint(row)
	if !ok {
		b.log.WithFields(logrus.Fields{"event": "endpoint_malformed", "endpoint": row.Key, "version": row.Version}).
			Warn("row names no endpoint")
	}
	return e, ok
}

// endpointsFull takes all rows of the endpoints' table.
func (b *beliefs) endpointsFull(rows []platform.Row) {
	var entries []registry.Entry
	for _, row := range rows {
		if e, ok := b.endpoint(row); ok {
			entries = append(entries, e)
		}
	}
	changed := b.roster.Replace(entries)
	b.log.WithFields(logrus.Fields{"event": "endpoints_read", "listed": len(entries), "changed": changed}).
		Info("endpoints read from the store")
}

// endpointsChange takes changed rows of the endpoints' table.
func (b *beliefs) endpointsChange(rows []platform.Row) {
	var removed []string
	for _, row := range rows {
		if row.Removed {
			removed = append(removed, row.Key)
			continue
		}
		if e, ok := b.endpoint(row); ok && b.roster.Upsert(e) {
			b.log.WithFields(logrus.Fields{"event": "endpoint_changed", "endpoint": e.ID, "service": e.Service,
				"draining": e.Draining, "version": row.Version}).Info("endpoint listed or leaving")
		}
	}
	if len(removed) > 0 {
		b.roster.Remove(removed...)
		b.log.WithFields(logrus.Fields{"event": "endpoints_removed", "endpoints": removed}).Info("endpoints removed from the store")
	}
}

// endpointsFromPeer takes the list of a peer that reaches the store.
func (b *beliefs) endpointsFromPeer(s exchange.State, peer string) {
	own := b.roster.Version()
	changed, taken := b.roster.ReplaceFromPeer(s.Endpoints, s.StoreVersion)
	if changed > 0 || !taken {
		b.log.WithFields(logrus.Fields{"event": "endpoints_from_peer", "peer": peer, "version": s.StoreVersion, "own_version": own,
			"changed": changed, "taken": taken}).Info("list of endpoints of a peer")
	}
}
