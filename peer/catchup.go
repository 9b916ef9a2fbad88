package peer

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// catchUpPause separates the tries of CatchUp while no entry has the wanted epoch.
const catchUpPause = 100 * time.Millisecond

// CatchUp exchanges until the node holds an epoch or a later one. Errors: the context's error.
func (p *Peer) CatchUp(ctx context.Context, wanted int64) error {
	for p.store.Epoch() < wanted {
		p.exchangeOnce(ctx)
		if p.store.Epoch() >= wanted {
			return nil
		}
		if err := timing.Sleep(ctx, catchUpPause); err != nil {
			return err
		}
	}
	return nil
}
