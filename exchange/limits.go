package exchange

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/throttle"
)

// Throttle holds the limits that endpoints have stated, and what the gateways have sent to them.
type Throttle interface {
	// Merge adds the reports of a peer.
	Merge(peer string, reports []throttle.Report)
	// Changed returns a channel that signals that there is something to report.
	Changed() <-chan struct{}
	// TakeChanged returns the reports on what has changed at this gateway since the last call: those with another statement, and those
	// with other requests only.
	TakeChanged() (statements, sends []throttle.Report)
	// Reports returns the reports that are repeated to the gateways of the circle.
	Reports() []throttle.Report
}

// Layout of a datagram with reports on limits: magic, flags, name of the sender, number of reports, reports.
const (
	limitsMagic        = 0xB17B1002
	limitsHeaderBytes  = 4 + 1 + 1 + maxNameBytes + 1
	reportBytes        = 4 + 1 + 4 + 2 + 2
	reportsPerDatagram = (maxDatagramBytes - limitsHeaderBytes) / reportBytes
	flagStated         = 1
)

// sendReports sends reports to an audience.
func (e *Exchange) sendReports(reports []throttle.Report, to audience) {
	if len(reports) == 0 {
		return
	}
	r := e.recipientsOf(to)
	for part := range slices.Chunk(reports, reportsPerDatagram) {
		e.sendTo(r, encodeReports(e.opts.Name, part))
	}
}

// handleReports merges the reports of a datagram.
func (e *Exchange) handleReports(datagram []byte) error {
	name, reports, relay, err := decodeReports(datagram)
	if err != nil || name == e.opts.Name {
		return err
	}
	if relay {
		e.passOn(datagram)
	}
	e.opts.Throttle.Merge(name, reports)
	return nil
}

// encodeReports returns a datagram with at most reportsPerDatagram reports, which its receiver passes on.
func encodeReports(name string, reports []throttle.Report) []byte {
	b := make([]byte, 0, limitsHeaderBytes+len(reports)*reportBytes)
	b = binary.BigEndian.AppendUint32(b, limitsMagic)
	b = append(b, flagRelay, byte(len(name)))
	b = append(b, name...)
	b = append(b, byte(len(reports)))
	for i := range reports {
		r := &reports[i]
		var flags byte
		if r.Stated {
			flags |= flagStated
		}
		b = binary.BigEndian.AppendUint32(b, uint32(r.Endpoint))
		b = append(b, flags)
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(r.PerSecond)))
		b = binary.BigEndian.AppendUint16(b, uint16(clamp(int(r.Age/durationUnit), math.MaxUint16)))
		b = binary.BigEndian.AppendUint16(b, uint16(clamp(r.Sends, math.MaxUint16)))
	}
	return b
}

// decodeReports returns the sender and the reports of a datagram, and whether its receiver passes it on.
func decodeReports(datagram []byte) (name string, reports []throttle.Report, relay bool, err error) {
	r := &reader{rest: datagram}
	r.u32() // magic
	relay = r.u8()&flagRelay != 0
	name = string(r.next(r.u8()))
	count := r.u8()
	for i := 0; i < count && !r.truncated; i++ {
		report := throttle.Report{Endpoint: placement.EndpointKey(r.u32()), Stated: r.u8()&flagStated != 0}
		report.PerSecond = float64(math.Float32frombits(r.u32()))
		report.Age, report.Sends = time.Duration(r.u16())*durationUnit, r.u16()
		if !(report.PerSecond >= 0) || math.IsInf(report.PerSecond, 0) {
			return "", nil, false, errMalformed
		}
		reports = append(reports, report)
	}
	if r.truncated || len(r.rest) > 0 || name == "" {
		return "", nil, false, errMalformed
	}
	return name, reports, relay, nil
}
