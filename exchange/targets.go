package exchange

import (
	"net"
	"time"
)

// Intervals of greetings to addresses from which nothing is heard.
const (
	// greetingInterval is the interval of greetings to an address that is new. A gateway that starts at the same time may miss the
	// first ones.
	greetingInterval = time.Second
	// newTargetAge is the age up to which an address is new.
	newTargetAge = 5 * time.Second
	// probeInterval is the interval of greetings to an address that has been silent for longer: a gateway that is gone costs little,
	// and one behind a healed partition is found again.
	probeInterval = 5 * time.Second
	// forgetTargetAge is the silence after which an address is dropped. The list in the store adds it again if it is still there.
	forgetTargetAge = 2 * time.Minute
)

// target is the address of a gateway, which may have stopped.
type target struct {
	addr      net.Addr
	heardAt   time.Time // zero: never
	addedAt   time.Time
	greetedAt time.Time
}

// targetList holds the addresses of all known gateways.
type targetList struct {
	ownAddr string
	byAddr  map[string]*target
}

func newTargetList(ownAddr string) *targetList {
	return &targetList{ownAddr: ownAddr, byAddr: make(map[string]*target)}
}

func (l *targetList) add(addr net.Addr, now time.Time) {
	if key := addr.String(); key != l.ownAddr && l.byAddr[key] == nil {
		l.byAddr[key] = &target{addr: addr, addedAt: now}
	}
}

func (l *targetList) remove(addr net.Addr) { delete(l.byAddr, addr.String()) }

func (l *targetList) heard(addr net.Addr, now time.Time) {
	if t := l.byAddr[addr.String()]; t != nil {
		t.heardAt = now
	}
}

func (l *targetList) all() []net.Addr {
	addrs := make([]net.Addr, 0, len(l.byAddr))
	for _, t := range l.byAddr {
		addrs = append(addrs, t.addr)
	}
	return addrs
}

// due returns the silent addresses that are to be greeted now, and drops those that have been silent for long.
func (l *targetList) due(now time.Time) []net.Addr {
	var due []net.Addr
	for key, t := range l.byAddr {
		lastSign := t.addedAt
		if t.heardAt.After(lastSign) {
			lastSign = t.heardAt
		}
		interval := greetingInterval
		switch silence := now.Sub(lastSign); {
		case !t.heardAt.IsZero() && now.Sub(t.heardAt) < peerTimeout:
			continue
		case silence > forgetTargetAge:
			delete(l.byAddr, key)
			continue
		case silence > newTargetAge:
			interval = probeInterval
		}
		if now.Sub(t.greetedAt) >= interval {
			t.greetedAt = now
			due = append(due, t.addr)
		}
	}
	return due
}
