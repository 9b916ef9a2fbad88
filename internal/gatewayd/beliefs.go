package gatewayd

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/roster"
)

// freshFor is the age up to which a configuration counts as the newest. It covers one call of the feed and its margin.
const freshFor = feedWait + 1200*time.Millisecond

// beliefs turns what the store and peers say into the catalog and the roster.
type beliefs struct {
	log     *logrus.Logger
	current *catalog.Current
	roster  *roster.Roster

	mu    sync.Mutex
	lost  map[string]bool // by table
	heard map[string]time.Time
}

func newBeliefs(log *logrus.Logger) *beliefs {
	return &beliefs{
		log: log, current: new(catalog.Current), roster: roster.New(nil),
		lost: make(map[string]bool), heard: make(map[string]time.Time),
	}
}

// storeUp reports whether all tables were heard of lately.
func (b *beliefs) storeUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, lost := range b.lost {
		if lost {
			return false
		}
	}
	return len(b.heard) == watchedTables
}

// configCurrent reports whether the configuration in force is known to be the newest.
func (b *beliefs) configCurrent() bool {
	return time.Since(b.current.Confirmed()) < freshFor
}

func (b *beliefs) storeLost(table string, err error) {
	b.mu.Lock()
	was := b.lost[table]
	b.lost[table] = true
	b.mu.Unlock()
	b.roster.StoreLost()
	if !was {
		b.log.WithError(err).WithFields(logrus.Fields{"event": "store_lost", "table": table}).Warn("store does not answer")
	}
}

func (b *beliefs) storeHeard(table string, now time.Time) {
	b.mu.Lock()
	was := b.lost[table]
	b.lost[table] = false
	b.heard[table] = now
	any := false
	for _, lost := range b.lost {
		any = any || lost
	}
	b.mu.Unlock()
	if !any {
		b.roster.StoreRegained()
	}
	if was {
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

// endpointsFull takes all rows of the endpoints' table.
func (b *beliefs) endpointsFull(rows []platform.Row) {
	var entries []roster.Entry
	for _, row := range rows {
		if e, ok := platform.DecodeEndpoint(row); ok {
			entries = append(entries, e)
		} else {
			b.log.WithFields(logrus.Fields{"event": "endpoint_malformed", "endpoint": row.Key, "version": row.Version}).
				Warn("row names no endpoint")
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
		e, ok := platform.DecodeEndpoint(row)
		if !ok {
			b.log.WithFields(logrus.Fields{"event": "endpoint_malformed", "endpoint": row.Key, "version": row.Version}).
				Warn("row names no endpoint")
			continue
		}
		if b.roster.Observe(e) {
			b.log.WithFields(logrus.Fields{"event": "endpoint_changed", "endpoint": e.ID, "service": e.Service,
				"draining": e.Draining, "version": row.Version}).Info("endpoint listed or leaving")
		}
	}
	if len(removed) > 0 {
		b.roster.Remove(removed...)
		b.log.WithFields(logrus.Fields{"event": "endpoints_removed", "endpoints": removed}).Info("endpoints removed from the store")
	}
}
