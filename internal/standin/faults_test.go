package standin

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
)

func TestUnknownFaultsChangeNothing(t *testing.T) {
	p := New(Options{})
	defer p.Close()
	before := p.faults.State()
	for _, body := range []string{
		`{"table_down":true,"no_such_fault":1}`,
		`{"table_down":true,"engine_crash":"no-such-endpoint"}`,
		`{"table_down":true,"table_delay_ms":-1}`,
		`{"table_down":true,"table_lose_answers":"many"}`,
		`[]`,
	} {
		require.Error(t, p.faults.Merge([]byte(body)), body)
		require.Equal(t, before, p.faults.State(), body)
	}
}

func TestMergeKeepsOtherFaultsAndResetRestoresInitial(t *testing.T) {
	p := New(Options{})
	defer p.Close()
	initial := p.faults.State()
	require.NoError(t, p.faults.Merge([]byte(`{"table_down":true,"vm_leaving":["entry-1"]}`)))
	require.NoError(t, p.faults.Merge([]byte(`{"objects_down":true}`)))
	require.True(t, p.faults.State().TableDown)
	require.NoError(t, p.faults.Merge([]byte(`{"reset":true,"weights_down":true}`)))
	want := initial
	want.WeightsDown = true
	require.Equal(t, want, p.faults.State())
}

// Injects each fault and checks the effect that its description states.
func TestFaultsMatchTheirDescriptions(t *testing.T) {
	cases := map[string]func(t *testing.T, p *Platform){
		`{"table_down":true}`: func(t *testing.T, p *Platform) {
			_, err := p.table.Commit(t.Context(), cloud.Write{Key: "k"})
			require.ErrorIs(t, err, cloud.ErrUnavailable)
			require.Empty(t, p.table.rows)
		},
		`{"table_delay_ms":700}`: func(t *testing.T, p *Platform) {
			begin := time.Now()
			_, err := p.table.Get(t.Context(), "k")
			require.ErrorIs(t, err, cloud.ErrNotFound)
			require.GreaterOrEqual(t, time.Since(begin), 700*time.Millisecond)
		},
		`{"table_lose_answers":1}`: func(t *testing.T, p *Platform) {
			_, err := p.table.Commit(t.Context(), cloud.Write{Key: "k"})
			require.ErrorIs(t, err, cloud.ErrInDoubt)
			_, err = p.table.Get(t.Context(), "k")
			require.NoError(t, err, "the write must have taken effect")
			_, err = p.table.Commit(t.Context(), cloud.Write{Key: "k2"})
			require.NoError(t, err, "only one answer is lost")
		},
		`{"objects_down":true}`: func(t *testing.T, p *Platform) {
			require.ErrorIs(t, p.objects.Put(t.Context(), "o", nil), cloud.ErrUnavailable)
		},
		`{"weights_down":true}`: func(t *testing.T, p *Platform) {
			_, err := p.weights.IssueTicket(t.Context(), "m@1")
			require.ErrorIs(t, err, cloud.ErrUnavailable)
		},
		`{"vm_list_lag_ms":5000,"vm_leaving":["entry-1"]}`: func(t *testing.T, p *Platform) {
			p.SetVM(cloud.VM{Name: "entry-1", State: cloud.VMLive})
			time.Sleep(4 * time.Second)
			vms, err := p.vms.List(t.Context())
			require.NoError(t, err)
			require.Empty(t, vms)
			time.Sleep(time.Second)
			vms, err = p.vms.List(t.Context())
			require.NoError(t, err)
			require.Equal(t, cloud.VMLeaving, vms[0].State)
		},
		`{"engine_crash":"model-1"}`: func(t *testing.T, p *Platform) {
			require.ErrorIs(t, p.Engine("model-1").Cancel(t.Context(), "a"), endpoint.ErrDown)
			require.Empty(t, p.faults.State().EngineCrash, "the crash happens once")
		},
		`{"engine_down":["model-1","order-1"]}`: func(t *testing.T, p *Platform) {
			time.Sleep(time.Hour)
			require.ErrorIs(t, p.Engine("model-1").Cancel(t.Context(), "a"), endpoint.ErrDown)
			require.ErrorIs(t, p.Service("order-1").CheckHealth(t.Context()), endpoint.ErrDown)
			require.NoError(t, p.faults.Merge([]byte(`{"engine_down":[]}`)))
			require.NoError(t, p.Engine("model-1").Cancel(t.Context(), "a"))
		},
		`{"crash_marker":"!boom!"}`: func(t *testing.T, p *Platform) {
			e := p.Engine("model-1")
			_, err := collect(t, generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: "quiet", MaxTokens: 2}))
			require.NoError(t, err)
			_, err = collect(t, generate(t, e, endpoint.GenerateRequest{StreamID: "b", Prompt: "now !boom!"}))
			require.ErrorIs(t, err, endpoint.ErrDown)
		},
		`{"drop_cache_events":true}`: func(t *testing.T, p *Platform) {
			e := p.Engine("model-1")
			_, err := collect(t, generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: prompt("a", 600), MaxTokens: 2}))
			require.NoError(t, err)
			require.NoError(t, p.faults.Merge([]byte(`{"drop_cache_events":false}`)))
			_, err = collect(t, generate(t, e, endpoint.GenerateRequest{StreamID: "b", Prompt: prompt("b", 600), MaxTokens: 2}))
			require.NoError(t, err)
			time.Sleep(time.Second)
			events, err := e.CacheEvents(t.Context(), 0)
			require.NoError(t, err)
			require.Len(t, events, 2)
			require.EqualValues(t, 3, events[0].Seq, "the lost events must leave a gap")
		},
		`{"load_lag_ms":10000}`: func(t *testing.T, p *Platform) {
			e := p.Engine("model-1")
			before, err := e.Report(t.Context())
			require.NoError(t, err)
			generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: prompt("a", 600), MaxTokens: 1000})
			time.Sleep(9 * time.Second)
			report, err := e.Report(t.Context())
			require.NoError(t, err)
			require.Equal(t, before, report)
			time.Sleep(time.Second)
			report, err = e.Report(t.Context())
			require.NoError(t, err)
			require.Equal(t, []string{"a"}, report.RunningIDs)
		},
		`{"slow_lookups_ms":3000,"slow_lookups_endpoints":["order-1"]}`: func(t *testing.T, p *Platform) {
			for name, slow := range map[string]bool{"order-1": true, "order-2": false} {
				begin := time.Now()
				_, err := p.Service(name).Do(t.Context(), endpoint.Call{Method: http.MethodGet, Path: "/stock/hose"})
				require.NoError(t, err)
				require.Equal(t, slow, time.Since(begin) >= 3*time.Second)
			}
		},
	}
	for body, check := range cases {
		t.Run(body, func(t *testing.T) {
			withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
				loadedEngine(p, "model-1", EngineOptions{MaxTokens: 2000})
				p.AddService("order-1", ServiceOptions{})
				p.AddService("order-2", ServiceOptions{})
				require.NoError(t, p.faults.Merge([]byte(body)))
				check(t, p)
			})
		})
	}
}

func TestEveryFaultIsDescribed(t *testing.T) {
	p := New(Options{})
	defer p.Close()
	docs := p.faults.Describe()
	data, err := json.Marshal(p.faults.State())
	require.NoError(t, err)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(data, &fields))
	for name := range fields {
		require.NotEmpty(t, docs[name].Description, name)
	}
}

func TestPartitionGroups(t *testing.T) {
	s := FaultState{Partition: [][]string{{"north", PlatformDomain}, {"south"}}}
	require.True(t, s.Reachable("north", PlatformDomain))
	require.False(t, s.Reachable("south", PlatformDomain))
	require.False(t, s.Reachable("east", PlatformDomain))
	require.False(t, s.Reachable("north", "south"))
	require.False(t, s.Reachable("south", "east"))
	require.True(t, s.Reachable("east", "west"))
	require.True(t, FaultState{Partition: [][]string{{"south"}}}.Reachable("south", PlatformDomain))
}
