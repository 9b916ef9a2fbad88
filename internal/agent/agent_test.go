package agent

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/stream"
	"github.com/bilberrylink/bilberrylink/wire"
)

// post sends a message to the agent and returns the body of the answer.
func post(t *testing.T, f *fixture, path string, m proto.Message) io.ReadCloser {
	body, err := proto.Marshal(m)
	require.NoError(t, err)
	response, err := http.Post("http://"+f.Addr()+path, contentType, bytes.NewReader(body))
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response.Body
}

// Guards against streams that a Reader of the entry refuses, also when the connection is lost and the stream resumed.
func TestModelStreamOverHTTP(t *testing.T) {
	requireNoViolations(t)
	f := newFixture(t, fleet.KindModel, func(o *Options) { o.Node.Listen = "127.0.0.1:0" })
	require.NoError(t, f.listen(func(error) {}))
	reader := stream.NewReader("r-a", "a")
	lost := post(t, f, "/agent/v1/run", modelRequest("a"))
	reader.Attach(lost)
	var text string
	for reader.NextSequence() < 3 {
		frame, err := reader.Recv()
		require.NoError(t, err)
		text += frame.GetToken().GetText()
	}
	require.NoError(t, lost.Close())
	reader.Attach(post(t, f, "/agent/v1/resume", &wire.ResumeRequest{RequestId: "r-a", AttemptId: "a", NextSequence: reader.NextSequence()}))
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
	unknown, err := http.Post("http://"+f.Addr()+"/agent/v1/resume", contentType, http.NoBody)
	require.NoError(t, err)
	defer func() { _ = unknown.Body.Close() }()
	require.Equal(t, http.StatusNotFound, unknown.StatusCode)
	metrics, err := http.Get("http://" + f.Addr() + "/metrics")
	require.NoError(t, err)
	defer func() { _ = metrics.Body.Close() }()
	data, err := io.ReadAll(metrics.Body)
	require.NoError(t, err)
	require.Contains(t, string(data), `bilberry_agent_attempts_total{kind="ok",run="ran"} 1`)
	require.NoError(t, f.Stop(t.Context()))
}

// Guards against streams of an earlier incarnation of the agent that keep the engine's memory.
func TestUnknownStreamsAreCancelled(t *testing.T) {
	requireNoViolations(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fleet.KindModel, nil)
		defer f.close()
		f.engine.set(func(e *fakeEngine) { e.report.RunningIDs = []string{"old"} })
		time.Sleep(time.Second)
		require.Contains(t, f.engine.state().cancelled, "old")
	})
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
