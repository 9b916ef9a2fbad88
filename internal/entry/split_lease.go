package entry

import (
	"context"
	"sync"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/wire"
)

// keepLeases renews the reservations until stop is called.
func (s *splitRun) keepLeases(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		timing.Every(ctx, s.d.timing.ReservationLease/renewsPerLease, func() { s.probe(ctx) })
	}()
	return func() {
		cancel()
		<-ended
	}
}

// probe renews every granted reservation and marks the members that no longer hold theirs.
func (s *splitRun) probe(ctx context.Context) {
	var all sync.WaitGroup
	for _, seg := range s.held() {
		if seg.granted.Load() {
			all.Go(func() { s.renew(ctx, seg) })
		}
	}
	all.Wait()
}

func (s *splitRun) renew(ctx context.Context, seg *segment) {
	bounded, cancel := context.WithTimeout(ctx, s.d.timing.ReservationLease/renewsPerLease)
	defer cancel()
	reply, err := s.d.agents.unary(seg.node.Addr).Renew(bounded, &wire.RenewRequest{
		Reservations: []string{seg.reservation},
		LeaseMs:      s.d.timing.ReservationLease.Milliseconds(),
	})
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		seg.missed.Store(0)
	}
	if len(reply.GetUnknown()) > 0 || err != nil && seg.missed.Add(1) >= missedRenewals {
		seg.lost.Store(true)
	}
}

// release frees every reservation.
func (s *splitRun) release() {
	s.mu.Lock()
	segments := s.segments
	s.segments = nil
	s.mu.Unlock()
	s.releaseSegments(segments)
}

// releaseSegments frees reservations in the background; it only ends work, so it may outlive the answer.
func (s *splitRun) releaseSegments(segments []*segment) {
	if s.d.opts.Disabled.ReservationRelease {
		return
	}
	for _, seg := range segments {
		if seg.node.Addr == "" {
			continue
		}
		s.d.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			reply, err := s.d.agents.unary(seg.node.Addr).Release(ctx, &wire.ReleaseRequest{Reservations: []string{seg.reservation}})
			if err != nil {
				s.d.log.WithError(err).WithField("endpoint", seg.ep.Name).Debug("release left to the lease")
				return
			}
			s.d.observe(reply.GetLoad())
		})
	}
}
