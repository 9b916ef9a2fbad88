package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/bilberrylink/bilberrylink/placement"
)

// BenchmarkReceive measures the receipt of a state with ten jobs from one of 102 peers.
func BenchmarkReceive(b *testing.B) {
	e := newExchange(placement.NewScheduler())
	now := time.Now()
	datagrams := make([][]byte, 102)
	for i := range datagrams {
		m := sampleMessage(now)
		m.Name, m.Addr, m.Relay = fmt.Sprintf("edge-kecskemet-%d", i), fmt.Sprintf("10.0.0.%d:7680", i), false
		for range 9 {
			m.Jobs = append(m.Jobs, m.Jobs[0])
		}
		datagrams[i] = m.encode(now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m, err := decode(datagrams[i%len(datagrams)], now)
		if err != nil {
			b.Fatal(err)
		}
		e.handleMessage(m, now)
	}
}
