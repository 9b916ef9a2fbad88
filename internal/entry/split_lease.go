package entry

import (
	"context"
	"sync"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/wire"
)

// startRenewals renews the reservations in the background until stop is called.
func (s *splitRequest) startRenewals(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		timing.Every(ctx, s.d.timing.ReservationLease/renewalsPerLease, func() { s.renewAll(ctx) })
	}()
	return func() {
		cancel()
		<-ended
	}
}

// renewAll renews every granted reservation and marks the members that no longer hold theirs as lost.
func (s *splitRequest) renewAll(ctx context.Context) {
	var renewals sync.WaitGroup
	for _, seg := range s.reservedSegments() {
		if seg.granted.Load() {
			renewals.Go(func() { s.renew(ctx, seg) })
		}
	}
	renewals.Wait()
}

func (s *splitRequest) renew(ctx context.Context, seg *segment) {
	callCtx, cancel := context.WithTimeout(ctx, s.d.timing.ReservationLease/renewalsPerLease)
	defer cancel()
	reply, err := s.d.agents.unary(seg.node.Addr).Renew(callCtx, &wire.RenewRequest{
		Reservations: []string{seg.reservation},
		LeaseMs:      s.d.timing.ReservationLease.Milliseconds(),
	})
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		seg.missedRenewals.Store(0)
	}
	if len(reply.GetUnknown()) > 0 || err != nil && seg.missedRenewals.Add(1) >= maxMissedRenewals {
		seg.lost.Store(true)
	}
}

// releaseAll releases all reservations.
func (s *splitRequest) releaseAll() {
	s.mu.Lock()
	segments := s.reserved
	s.reserved = nil
	s.mu.Unlock()
	s.releaseSegments(segments)
}

// releaseSegments releases reservations in the background, which may take longer than the request.
func (s *splitRequest) releaseSegments(segments []*segment) {
	if s.d.opts.Disabled.ReservationRelease {
		return
	}
	for _, seg := range segments {
		if !seg.requested.Load() {
			continue
		}
		s.d.pendingReleases.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			reply, err := s.d.agents.unary(seg.node.Addr).Release(ctx, &wire.ReleaseRequest{Reservations: []string{seg.reservation}})
			if err != nil {
				s.d.log.WithError(err).WithField("endpoint", seg.ep.Name).Debug("reservation not released; it ends with its lease")
				return
			}
			s.d.observeLoad(reply.GetLoad())
		})
	}
}
