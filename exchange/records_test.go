package exchange

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/throttle"
)

func sampleRecords(now time.Time) []quarantine.Record {
	return []quarantine.Record{
		{Subject: quarantine.PartSubject("p"), Events: 2, Generation: 3, ExpiresAt: now.Add(time.Minute), StoredEndpoints: 5,
			Crashes: []quarantine.Crash{{Endpoint: 1, Call: 2}, {Endpoint: 3, Call: 4}}},
		{Subject: quarantine.CallSubject(7), ExpiresAt: now.Add(time.Hour)},
	}
}

func sampleReports() []throttle.Report {
	return []throttle.Report{
		{Endpoint: placement.KeyOf("e"), Stated: true, PerSecond: 2.5, Age: 1500 * time.Millisecond, Sends: 4},
		{Endpoint: placement.KeyOf("f"), Age: time.Second},
	}
}

// Every field of records and reports must survive encoding and decoding, and full datagrams must fit into a packet.
func TestRecordAndReportEncodingRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	records, relay, err := decodeRecords(encodeRecords(sampleRecords(now), now), now)
	require.NoError(t, err)
	require.True(t, relay)
	require.Equal(t, sampleRecords(now), records)
	_, relay, err = decodeRecords(withoutRelay(encodeRecords(records, now)), now)
	require.NoError(t, err)
	require.False(t, relay)

	name, reports, relay, err := decodeReports(encodeReports("gateway", sampleReports()))
	require.NoError(t, err)
	require.True(t, relay)
	require.Equal(t, "gateway", name)
	require.Equal(t, sampleReports(), reports)

	full := make([]quarantine.Record, recordsPerDatagram)
	for i := range full {
		full[i].Crashes = make([]quarantine.Crash, quarantine.MaxCrashes)
	}
	require.LessOrEqual(t, len(encodeRecords(full, now)), maxDatagramBytes)
	require.LessOrEqual(t, len(encodeReports(strings.Repeat("n", maxNameBytes), make([]throttle.Report, reportsPerDatagram))), maxDatagramBytes)
}

// Truncated datagrams and those with trailing bytes must not be accepted.
func TestMalformedRecordsAndReportsAreRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	records, reports := encodeRecords(sampleRecords(now), now), encodeReports("gateway", sampleReports())
	for i := 4; i < len(records); i++ {
		_, _, err := decodeRecords(records[:i], now)
		require.Error(t, err, "truncated at %d", i)
	}
	for i := 4; i < len(reports); i++ {
		_, _, _, err := decodeReports(reports[:i])
		require.Error(t, err, "truncated at %d", i)
	}
	_, _, err := decodeRecords(append(records, 0), now)
	require.Error(t, err)
	_, _, _, err = decodeReports(append(reports, 0))
	require.Error(t, err)
}

func FuzzDecodeRecordsAndReports(f *testing.F) {
	now := time.Unix(1000, 0)
	f.Add(encodeRecords(sampleRecords(now), now))
	f.Add(encodeReports("gateway", sampleReports()))
	tracker, limits := quarantine.New(quarantine.Options{}), throttle.New(throttle.Options{})
	f.Fuzz(func(_ *testing.T, b []byte) {
		if records, _, err := decodeRecords(b, now); err == nil {
			tracker.Merge(records)
		}
		if name, reports, _, err := decodeReports(b); err == nil {
			limits.Merge(name, reports)
		}
	})
}
