package exchange

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/bilberrylink/bilberrylink/quarantine"
)

// Quarantine holds the records of what has crashed endpoints.
type Quarantine interface {
	// Merge adds records of a peer.
	Merge(records []quarantine.Record)
	// Changed returns a channel that signals that records have changed at this gateway.
	Changed() <-chan struct{}
	// TakeChanged returns the records that have changed at this gateway since the last call.
	TakeChanged() []quarantine.Record
	// Spread returns at most limit of the records that peers may lack, one after the other.
	Spread(limit int) []quarantine.Record
}

// Layout of a datagram with quarantine records: magic, flags, number of records, records. Gateways of earlier versions ignore it.
const (
	recordsMagic       = 0xB17B1001
	recordsHeaderBytes = 4 + 1 + 1
	recordHeaderBytes  = 1 + 1 + 8 + 4 + 2 + 1 + 1
	recordCrashBytes   = 4 + 4
	maxRecordBytes     = recordHeaderBytes + quarantine.MaxCrashes*recordCrashBytes
	recordsPerDatagram = (maxDatagramBytes - recordsHeaderBytes) / maxRecordBytes
)

// sendRecords sends quarantine records to all gateways.
func (e *Exchange) sendRecords(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	r, now := e.recipientsOf(circleAndRelays), time.Now()
	for part := range slices.Chunk(records, recordsPerDatagram) {
		e.sendTo(r, encodeRecords(part, now))
	}
}

// handleRecords merges the records of a datagram.
func (e *Exchange) handleRecords(datagram []byte, now time.Time) error {
	records, relay, err := decodeRecords(datagram, now)
	if err != nil {
		return err
	}
	if relay {
		e.passOn(datagram)
	}
	e.opts.Quarantine.Merge(records)
	return nil
}

// encodeRecords returns a datagram with at most recordsPerDatagram records, which its receiver passes on.
func encodeRecords(records []quarantine.Record, now time.Time) []byte {
	b := make([]byte, 0, recordsHeaderBytes+len(records)*maxRecordBytes)
	b = binary.BigEndian.AppendUint32(b, recordsMagic)
	b = append(b, flagRelay, byte(len(records)))
	for i := range records {
		r := &records[i]
		crashes := r.Crashes[:min(len(r.Crashes), quarantine.MaxCrashes)]
		b = append(b, byte(r.Subject.Kind), byte(clamp(r.Events, math.MaxUint8)))
		b = binary.BigEndian.AppendUint64(b, r.Subject.Hash)
		b = binary.BigEndian.AppendUint32(b, r.Generation)
		b = binary.BigEndian.AppendUint16(b, uint16(clamp(int(r.ExpiresAt.Sub(now)/time.Second), math.MaxUint16)))
		b = append(b, byte(clamp(r.StoredEndpoints, math.MaxUint8)), byte(len(crashes)))
		for _, c := range crashes {
			b = binary.BigEndian.AppendUint32(b, c.Endpoint)
			b = binary.BigEndian.AppendUint32(b, c.Call)
		}
	}
	return b
}

// decodeRecords returns the records of a datagram, and whether its receiver passes it on.
func decodeRecords(datagram []byte, now time.Time) (records []quarantine.Record, relay bool, err error) {
	r := &reader{rest: datagram}
	r.u32() // magic
	relay = r.u8()&flagRelay != 0
	count := r.u8()
	for i := 0; i < count && !r.truncated; i++ {
		record := quarantine.Record{Subject: quarantine.Subject{Kind: quarantine.Kind(r.u8())}, Events: r.u8()}
		record.Subject.Hash, record.Generation = r.u64(), r.u32()
		record.ExpiresAt = now.Add(time.Duration(r.u16()) * time.Second)
		record.StoredEndpoints = r.u8()
		crashes := r.u8()
		for j := 0; j < crashes && !r.truncated; j++ {
			record.Crashes = append(record.Crashes, quarantine.Crash{Endpoint: r.u32(), Call: r.u32()})
		}
		records = append(records, record)
	}
	if r.truncated || len(r.rest) > 0 {
		return nil, false, errMalformed
	}
	return records, relay, nil
}
