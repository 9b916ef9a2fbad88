package exchange

import "github.com/prometheus/client_golang/prometheus"

// Values of the label "purpose" of the sent bytes.
const (
	toGateway = "direct"    // to gateways of the own circle, and greetings
	toRelay   = "relay"     // to a gateway of another circle, which passes it on
	passedOn  = "passed_on" // states of gateways in other circles, to the own circle
)

type metrics struct {
	sentBytes     *prometheus.CounterVec
	receivedBytes prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		sentBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_exchange_sent_bytes_total", Help: "Bytes sent to other gateways."}, []string{"purpose"}),
		receivedBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_exchange_received_bytes_total", Help: "Bytes received from other gateways."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.sentBytes, m.receivedBytes)
	}
	return m
}
