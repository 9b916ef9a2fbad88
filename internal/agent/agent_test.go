package agent

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/stream"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Guards against streams that a Reader of the entry would refuse.
func TestModelStreamOverHTTP(t *testing.T) {
	requireNoViolations(t)
	f := newFixture(t, fleet.KindModel, func(o *Options) { o.Node.Listen = "127.0.0.1:0" })
	require.NoError(t, f.listen(func(error) {}))
	body, err := proto.Marshal(modelRequest("a"))
	require.NoError(t, err)
	response, err := http.Post("http://"+f.Addr()+"/agent/v1/run", contentType, bytes.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := stream.NewReader("r-a", "a")
	reader.Attach(response.Body)
	var text string
	for {
		frame, err := reader.Recv()
		require.NoError(t, err)
		text += frame.GetToken().GetText()
		if end := frame.GetEnd(); end != nil {
			require.EqualValues(t, 6, end.GetFrames())
			require.Equal(t, "e1", end.GetLoad().GetEndpoint())
			break
		}
	}
	require.Equal(t, "t0 t1 t2 t3 t4 ", text)
	metrics, err := http.Get("http://" + f.Addr() + "/metrics")
	require.NoError(t, err)
	defer func() { _ = metrics.Body.Close() }()
	data, err := io.ReadAll(metrics.Body)
	require.NoError(t, err)
	require.Contains(t, string(data), `bilberry_agent_attempts_total{kind="ok",run="ran"} 1`)
	require.NoError(t, f.Stop(t.Context()))
}

// Guards against a plain call that is not recorded, or recorded with more than two writes.
func TestPlainCallOnceWithRecord(t *testing.T) {
	requireNoViolations(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fleet.KindPlain, nil)
		defer f.close()
		att := f.submit(t.Context(), callRequest("a", "POST", "/orders", "k1"))
		require.NotNil(t, wait(att).GetEnd())
		require.Equal(t, int64(2), f.table.version("once/w/k1"))
		again := f.submit(t.Context(), callRequest("b", "POST", "/orders", "k1"))
		require.NotNil(t, wait(again).GetEnd())
		require.Equal(t, 1, f.service.count())
		require.True(t, frameOf(again, 1).GetResponse().GetReplayed())
	})
}

func frameOf(att *attempt, i int) *wire.Frame { return att.buffer.Frames()[i] }
