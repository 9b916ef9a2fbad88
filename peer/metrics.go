package peer

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/epoch"
)

type metrics struct {
	sent      prometheus.Counter
	received  prometheus.Counter
	exchanges *prometheus.CounterVec
	pushes    prometheus.Counter
	polls     *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer, store *epoch.Store) (*metrics, error) {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberry_peer_bytes_total",
		Help: "Bytes of exchange messages, before transport framing.",
	}, []string{"direction"})
	m := &metrics{
		sent:     bytes.WithLabelValues("sent"),
		received: bytes.WithLabelValues("received"),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_peer_exchanges_total",
			Help: "Exchanges started by this node, by result.",
		}, []string{"result"}),
		pushes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_peer_pushes_total",
			Help: "Exchanges that pushed a new epoch or a leaving node.",
		}),
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_epoch_polls_total",
			Help: "Reads of the current epoch from the table, by result.",
		}, []string{"result"}),
	}
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberry_epoch",
		Help: "Epoch held by this node.",
	}, func() float64 { return float64(store.Epoch()) })
	fresh := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberry_epoch_fresh",
		Help: "1 while the evidence of the current epoch is younger than the freshness bound.",
	}, func() float64 {
		if store.Fresh() {
			return 1
		}
		return 0
	})
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{bytes, m.exchanges, m.pushes, m.polls, held, fresh} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "peer: metrics")
		}
	}
	return m, nil
}

func (m *metrics) countSent(msg proto.Message)     { m.sent.Add(float64(proto.Size(msg))) }
func (m *metrics) countReceived(msg proto.Message) { m.received.Add(float64(proto.Size(msg))) }

func result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

// MessageBytes returns the bytes of exchange messages sent and received so far, before transport framing.
func (p *Peer) MessageBytes() (sent, received float64) {
	return counterValue(p.metrics.sent), counterValue(p.metrics.received)
}

// ExchangeCount returns the requests that this node sent.
func (p *Peer) ExchangeCount() float64 {
	return counterValue(p.metrics.exchanges.WithLabelValues(result(nil))) +
		counterValue(p.metrics.exchanges.WithLabelValues("error"))
}

func counterValue(c prometheus.Counter) float64 {
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		return 0
	}
	return m.GetCounter().GetValue()
}
