package exchange

import (
	"encoding/binary"

	"github.com/bilberrylink/bilberrylink/evacuation"
)

// Evacuation holds which failure domains the operator has evacuated.
type Evacuation interface {
	// Merge takes over the list of a peer if it is later than the known one.
	Merge(peer string, list evacuation.List)
	// Changed returns a channel that signals that this gateway has read another list from the store.
	Changed() <-chan struct{}
	// List returns the latest known list.
	List() evacuation.List
	// ToRepeat returns the list if it has to be repeated to the peers.
	ToRepeat() (list evacuation.List, ok bool)
}

// Layout of a datagram with the evacuated failure domains: magic, flags, name of the sender, position, number of failure domains, their
// names. Gateways of earlier versions ignore it.
const evacuationsMagic = 0xB17B1003

// sendEvacuations sends the list of evacuated failure domains to all gateways.
func (e *Exchange) sendEvacuations(list evacuation.List) {
	e.sendTo(e.recipientsOf(circleAndRelays), encodeEvacuations(e.opts.Name, list))
}

// handleEvacuations merges the list of a datagram.
func (e *Exchange) handleEvacuations(datagram []byte) error {
	name, list, relay, err := decodeEvacuations(datagram)
	if err != nil || name == e.opts.Name {
		return err
	}
	if relay {
		e.passOn(datagram)
	}
	e.opts.Evacuation.Merge(name, list)
	return nil
}

// encodeEvacuations returns a datagram with a list, which its receiver passes on.
func encodeEvacuations(sender string, list evacuation.List) []byte {
	b := binary.BigEndian.AppendUint32(nil, evacuationsMagic)
	b = append(b, flagRelay, byte(len(sender)))
	b = append(b, sender...)
	b = binary.BigEndian.AppendUint64(b, uint64(list.Position))
	b = append(b, byte(len(list.FailureDomains)))
	for _, name := range list.FailureDomains {
		b = append(b, byte(len(name)))
		b = append(b, name...)
	}
	return b
}

// decodeEvacuations returns the sender and the list of a datagram, and whether its receiver passes it on.
func decodeEvacuations(datagram []byte) (name string, list evacuation.List, relay bool, err error) {
	r := &reader{rest: datagram}
	r.u32() // magic
	relay = r.u8()&flagRelay != 0
	name = string(r.next(r.u8()))
	list.Position = int64(r.u64())
	count := r.u8()
	for i := 0; i < count && !r.truncated; i++ {
		list.FailureDomains = append(list.FailureDomains, string(r.next(r.u8())))
	}
	if r.truncated || len(r.rest) > 0 || name == "" {
		return "", evacuation.List{}, false, errMalformed
	}
	return name, list, relay, nil
}
