package peer

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// catchUpRetryDelay is the delay between exchanges of CatchUp.
const catchUpRetryDelay = 100 * time.Millisecond

// CatchUp exchanges with other entries until this node holds the wanted epoch or a later one. It returns the context's
// error if ctx ends first.
func (p *Peer) CatchUp(ctx context.Context, wanted int64) error {
	for p.store.Epoch() < wanted {
		p.exchangeOnce(ctx)
		if p.store.Epoch() >= wanted {
			return nil
		}
		if err := timing.Sleep(ctx, catchUpRetryDelay); err != nil {
			return err
		}
	}
	return nil
}
