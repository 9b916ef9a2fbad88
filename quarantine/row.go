package quarantine

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// row is a record as the platform's store holds it.
type row struct {
	Kind       string  `json:"kind"`
	Hash       uint64  `json:"hash,string"`
	Events     int     `json:"events"`
	Generation uint32  `json:"generation"`
	Crashes    []Crash `json:"crashes"`
	ExpiresMs  int64   `json:"expires_ms"` // Unix milliseconds
}

// EncodeRow returns the value of the row that holds a record.
func EncodeRow(r *Record) ([]byte, error) {
	value, err := json.Marshal(row{Kind: r.Subject.Kind.String(), Hash: r.Subject.Hash, Events: r.Events, Generation: r.Generation, Crashes: r.Crashes,
		ExpiresMs: r.ExpiresAt.UnixMilli()})
	return value, errors.Wrap(err, "quarantine row")
}

// DecodeRow returns the record of a row that was read at now. A row that is damaged gives an error.
func DecodeRow(value []byte, now time.Time) (Record, error) {
	var v row
	if err := json.Unmarshal(value, &v); err != nil {
		return Record{}, errors.Wrap(err, "quarantine row")
	}
	r := Record{Subject: Subject{Hash: v.Hash}, Events: max(v.Events, 0), Generation: v.Generation, ExpiresAt: time.UnixMilli(v.ExpiresMs)}
	for _, kind := range []Kind{Call, Part} {
		if kind.String() == v.Kind {
			r.Subject.Kind = kind
		}
	}
	if r.Subject.Kind == 0 || len(v.Crashes) == 0 {
		return Record{}, errors.New("quarantine row: no kind or no crashes")
	}
	for _, c := range v.Crashes {
		r.add(c)
	}
	if latest := now.Add(recordTTL); r.ExpiresAt.After(latest) {
		r.ExpiresAt = latest // the clock of the writer is ahead
	}
	r.StoredEndpoints = len(r.crashedEndpoints())
	return r, nil
}
