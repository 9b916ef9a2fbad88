package load

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Commands are the subcommands of bilberry-load.
type Commands struct {
	Run      RunCommand      `cmd:"" help:"Send the load of a mix and report outcomes, latencies and violations as observed by the callers."`
	Slowdown SlowdownCommand `cmd:"" help:"Run the short requests of a mix alone and then with the long ones, and print the ratio of their p95 latencies."`
	Table    TableCommand    `cmd:"" help:"Print reports of the slowdown command as a Markdown table."`
	Compare  CompareCommand  `cmd:"" help:"Print two reports side by side."`
	Paths    PathsCommand    `cmd:"" help:"Measure request paths of a running fleet with stand-ins: added latency, table calls, silent connections, engine crashes, restarts and throughput."`
	Plot     PlotCommand     `cmd:"" help:"Plot the latency distributions of reports."`
}

// LoadFlags are the flags common to the commands that send the load of a mix.
type LoadFlags struct {
	Entries        []string      `name:"entry" required:"" help:"Base URL of an entry; repeat or separate by commas for several."`
	Standin        string        `help:"Base URL of the stand-in; after the run, its counters are checked against the answers."`
	Seed           uint64        `default:"1" help:"Seed of arrival times and contents."`
	KeyPrefix      string        `help:"Prefix of idempotency keys and part of the content seed; change it to repeat a schedule on a running fleet with new keys."`
	Duration       time.Duration `help:"Length of the schedule before time scaling (default: duration of the mix)."`
	Warmup         time.Duration `help:"Warm-up time before time scaling; requests that arrive during it are sent but not recorded."`
	TimeScale      float64       `default:"1" help:"Speed of the engines relative to real time; rates and measured times are multiplied by it."`
	ScaleDeadlines bool          `default:"true" negatable:"" help:"Divide deadlines by the time scale."`
	RateFactor     float64       `default:"1" help:"Multiplies the rates of the mix."`
	MaxInFlight    int           `default:"10000" help:"Maximum number of requests in flight; further ones start late, which the report shows."`
	IdleRate       float64       `help:"Prefill rate of an idle engine in tokens per second; if set, the time to first token is compared with its target."`
	JSON           string        `name:"json" type:"path" help:"Write the report to this file."`

	Mix    string `type:"existingfile" xor:"mix" required:"" help:"YAML file of the mix."`
	Single bool   `xor:"mix" required:"" help:"Use a single stream of chats, described by the following flags, instead of a mix file."`
	SingleTraffic
}

// SingleTraffic are the flags that describe a mix of one traffic.
type SingleTraffic struct {
	Workspace    string            `default:"default" help:"With --single: workspace; its key is NAME-key."`
	Model        string            `help:"With --single: service that answers chats."`
	Rate         float64           `default:"1" help:"With --single: mean arrivals per second."`
	Prompt       map[Class]float64 `default:"1-4k=1" help:"With --single: weights by class of prompt length (1-4k, 4-32k, 32-128k, 128k-1M)."`
	AnswerTokens int               `default:"64" help:"With --single: max_tokens."`
	Deadline     time.Duration     `default:"30s" help:"With --single: X-Request-Timeout."`
}

func (s SingleTraffic) mix() *Mix {
	traffic := Traffic{
		Name: "chat", Kind: KindChat, Model: s.Model, Rate: s.Rate, Prompt: s.Prompt,
		Answer: AnswerLength{s.AnswerTokens, s.AnswerTokens}, Deadline: Duration(s.Deadline),
	}
	return &Mix{
		Name:       "single",
		Duration:   Duration(time.Minute),
		Workspaces: []Workspace{{Name: s.Workspace, Traffic: []Traffic{traffic}}},
	}
}

func (f *LoadFlags) options() (Options, error) {
	mix, err := f.readMix()
	if err != nil {
		return Options{}, err
	}
	if f.TimeScale <= 0 || f.RateFactor <= 0 {
		return Options{}, errors.New("--time-scale and --rate-factor must be positive")
	}
	for i := range mix.Workspaces {
		for j := range mix.Workspaces[i].Traffic {
			mix.Workspaces[i].Traffic[j].Rate *= f.RateFactor
		}
	}
	deadlineScale := 1.0
	if f.ScaleDeadlines {
		deadlineScale = f.TimeScale
	}
	opts := Options{
		Mix: mix, Sender: NewClient(f.Entries, deadlineScale), Seed: f.Seed, Salt: f.KeyPrefix,
		Duration: f.Duration, Warmup: f.Warmup, TimeScale: f.TimeScale, ScaleDeadlines: f.ScaleDeadlines,
		MaxInFlight: f.MaxInFlight, Standin: f.Standin, IdlePrefillRate: f.IdleRate,
	}
	if opts.Duration == 0 {
		opts.Duration = time.Duration(mix.Duration)
	}
	return opts, nil
}

func (f *LoadFlags) readMix() (*Mix, error) {
	if f.Mix != "" {
		return ReadMix(f.Mix)
	}
	mix := f.mix()
	return mix, mix.Validate()
}

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// RunCommand is `bilberry-load run`.
type RunCommand struct{ LoadFlags }

// Run sends the load and prints the report. It fails if the run found violations.
func (c *RunCommand) Run(k *kong.Kong) error {
	opts, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	report, err := Run(ctx, opts)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := report.WriteFile(c.JSON); err != nil {
			return err
		}
	}
	if err := report.WriteTable(k.Stdout); err != nil {
		return err
	}
	return failOnViolations(report)
}

func failOnViolations(reports ...*Report) error {
	for _, r := range reports {
		if len(r.Violations) > 0 {
			return errors.New("the run found violations")
		}
	}
	return nil
}

// SlowdownCommand is `bilberry-load slowdown`.
type SlowdownCommand struct {
	LoadFlags
	ShortTokens int `default:"4000" help:"Maximum prompt length of a short request, in tokens."`
}

// Run sends the load of both phases and prints the reports. It fails if a phase found violations.
func (c *SlowdownCommand) Run(k *kong.Kong) error {
	opts, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	slowdown, err := RunSlowdown(ctx, opts, c.ShortTokens)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, slowdown); err != nil {
			return err
		}
	}
	for _, r := range []*Report{slowdown.ShortOnly, slowdown.WithLong} {
		if err := r.WriteTable(k.Stdout); err != nil {
			return err
		}
	}
	if err := slowdown.WriteTable(k.Stdout); err != nil {
		return err
	}
	return failOnViolations(slowdown.ShortOnly, slowdown.WithLong)
}

// CompareCommand is `bilberry-load compare`.
type CompareCommand struct {
	A string `arg:"" type:"existingfile" help:"JSON report."`
	B string `arg:"" type:"existingfile" help:"JSON report."`
}

// Run prints the comparison.
func (c *CompareCommand) Run(k *kong.Kong) error {
	a, err := ReadReport(c.A)
	if err != nil {
		return err
	}
	b, err := ReadReport(c.B)
	if err != nil {
		return err
	}
	return WriteComparison(k.Stdout, a, b)
}

// PlotCommand is `bilberry-load plot`.
type PlotCommand struct {
	Reports []string `arg:"" type:"existingfile" help:"JSON reports."`
	Out     string   `default:"load.svg" type:"path" help:"File to write; the extension gives the format (svg, png, pdf)."`
	Measure Measure  `default:"first_token" enum:"first_token,time_per_token,total" help:"What to plot (${enum})."`
}

// Run writes the plot.
func (c *PlotCommand) Run(k *kong.Kong) error {
	var names []string
	var reports []*Report
	for _, path := range c.Reports {
		r, err := ReadReport(path)
		if err != nil {
			return err
		}
		names = append(names, PlotName(path))
		reports = append(reports, r)
	}
	if err := Plot(c.Out, c.Measure, names, reports); err != nil {
		return err
	}
	_, err := io.WriteString(k.Stdout, strconv.Quote(c.Out)+" written\n")
	return errors.Wrap(err, "write")
}

// PathsCommand is `bilberry-load paths`.
type PathsCommand struct {
	Entries       []string      `name:"entry" required:"" help:"Base URL of an entry; repeat or separate by commas for several."`
	Standin       string        `required:"" help:"Base URL of the stand-ins' control interface."`
	Key           string        `default:"order-desk-key" help:"Bearer key of a workspace that may use the service and the model."`
	Service       string        `default:"orders" help:"Plain service with the calls GET /stock/* and POST /orders."`
	Model         string        `default:"herder-replies" help:"Service that answers chats."`
	Measure       []string      `default:"latency,crash,throughput" enum:"latency,silence,crash,restart,throughput" help:"Measurements to take, in this order (${enum}). silence needs a fleet in one process (bilberry-dev); for restart, the operator restarts the processes while it runs."`
	Seed          uint64        `default:"1" help:"Seed of the contents and of the order of requests."`
	KeyPrefix     string        `help:"Part of the idempotency keys; change it to repeat a measurement on a running fleet."`
	Samples       int           `default:"300" help:"Number of requests of each kind for latency, and of streams for silence."`
	RestartWindow time.Duration `default:"60s" help:"Duration of the measurement restart."`
	JSON          string        `name:"json" type:"path" help:"Write the figures to this file."`
}

// Validate checks the numeric flags. Kong calls it after parsing.
func (c *PathsCommand) Validate() error {
	if c.Samples <= 0 || c.RestartWindow <= 0 {
		return errors.New("--samples and --restart-window must be positive")
	}
	return nil
}

// Run takes the measurements and prints the figures. If a measurement fails, it prints the figures taken until then.
func (c *PathsCommand) Run(k *kong.Kong) error {
	ctx, stop := signalContext()
	defer stop()
	figures, measureErr := RunPaths(ctx, PathsOptions{Entries: c.Entries, Standin: c.Standin, Key: c.Key, Service: c.Service,
		Model: c.Model, Seed: c.Seed, Samples: c.Samples, RestartWindow: c.RestartWindow, Salt: c.KeyPrefix}, c.Measure)
	table := tabwriter.NewWriter(k.Stdout, 0, 0, 2, ' ', 0)
	for _, f := range figures {
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%s\n", f.Measurement, f.Name, f.Value, f.Unit)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, figures); err != nil {
			return err
		}
	}
	return measureErr
}
