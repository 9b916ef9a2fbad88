package peer

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// catchUpPause is the delay between attempts of CatchUp.
const catchUpPause = 100 * time.Millisecond

// CatchUp exchanges with other entries until this node holds the wanted epoch or a later one. It returns the context's
// error if ctx ends first.
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
