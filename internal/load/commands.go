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
	Run      RunCommand      `cmd:"" help:"Send the load of a mix and report what the callers saw."`
	Slowdown SlowdownCommand `cmd:"" help:"Run short requests alone and with long ones, and print the ratio of their p95."`
	Table    TableCommand    `cmd:"" help:"Print reports of slowdown as one Markdown table."`
	Compare  CompareCommand  `cmd:"" help:"Show two reports side by side."`
	Paths    PathsCommand    `cmd:"" help:"Measure the paths of a running fleet with stand-ins: added latency, table calls, silence, crashes, restarts, throughput."`
	Plot     PlotCommand     `cmd:"" help:"Plot the latency distributions of reports."`
}

// LoadFlags are the flags of commands that send load.
type LoadFlags struct {
	Entries        []string      `name:"entry" required:"" help:"Base URL of an entry; repeat or separate by commas for several."`
	Standin        string        `help:"Base URL of the stand-in; its counters are checked after the run."`
	Seed           uint64        `default:"1" help:"Seed of arrivals and contents."`
	KeyPrefix      string        `help:"Prefix of idempotency keys and part of the content seed; a new one repeats a schedule on a running fleet with new keys."`
	Duration       time.Duration `help:"Length of the schedule before time scaling (default: the mix's)."`
	Warmup         time.Duration `help:"Arrivals before it are not recorded."`
	TimeScale      float64       `default:"1" help:"Speed of the engines; rates and measured times are multiplied by it."`
	ScaleDeadlines bool          `default:"true" negatable:"" help:"Divide deadlines by the time scale."`
	RateFactor     float64       `default:"1" help:"Multiplies the rates of the mix."`
	MaxInFlight    int           `default:"10000" help:"Most requests in flight; further ones start late, which the report shows."`
	IdleRate       float64       `help:"Prefill rate of an idle engine in tokens per second, to judge the time to first token against its target."`
	JSON           string        `name:"json" type:"path" help:"Write the report to this file."`

	Mix    string `type:"existingfile" xor:"mix" required:"" help:"YAML file of the mix."`
	Single bool   `xor:"mix" required:"" help:"Use one traffic of chats described by the following flags instead of a mix file."`
	SingleTraffic
}

// SingleTraffic describes a mix of one traffic by flags.
type SingleTraffic struct {
	Workspace    string            `default:"default" help:"With --single: workspace; its key is NAME-key."`
	Model        string            `help:"With --single: service that answers the chats."`
	Rate         float64           `default:"1" help:"With --single: mean arrivals per second."`
	Prompt       map[Class]float64 `default:"1-4k=1" help:"With --single: weights by class of prompt length (1-4k, 4-32k, 32-128k, 128k-1M)."`
	AnswerTokens int               `default:"64" help:"With --single: max_tokens."`
	Deadline     time.Duration     `default:"30s" help:"With --single: X-Request-Timeout."`
}

func (s SingleTraffic) mix() *Mix {
	t := Traffic{
		Name: "chat", Kind: KindChat, Model: s.Model, Rate: s.Rate, Prompt: s.Prompt,
		Answer: Answer{s.AnswerTokens, s.AnswerTokens}, Deadline: Duration(s.Deadline),
	}
	return &Mix{
		Name:       "single",
		Duration:   Duration(time.Minute),
		Workspaces: []Workspace{{Name: s.Workspace, Traffic: []Traffic{t}}},
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
	o := Options{
		Mix: mix, Sender: NewClient(f.Entries, deadlineScale), Seed: f.Seed, Salt: f.KeyPrefix,
		Duration: f.Duration, Warmup: f.Warmup, TimeScale: f.TimeScale, ScaleDeadlines: f.ScaleDeadlines,
		MaxInFlight: f.MaxInFlight, Standin: f.Standin, IdleRate: f.IdleRate,
	}
	if o.Duration == 0 {
		o.Duration = time.Duration(mix.Duration)
	}
	return o, nil
}

func (f *LoadFlags) readMix() (*Mix, error) {
	if f.Mix != "" {
		return ReadMix(f.Mix)
	}
	mix := f.mix()
	return mix, mix.Validate()
}

// untilSignal returns a context that ends on SIGINT or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// RunCommand is `bilberry-load run`.
type RunCommand struct{ LoadFlags }

// Run sends the load. It fails when the run found violations.
func (c *RunCommand) Run(k *kong.Kong) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	report, err := Run(ctx, o)
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
	ShortTokens int `default:"4000" help:"Longest prompt of a short request, in tokens."`
}

// Run sends the load of both phases. It fails when a phase found violations.
func (c *SlowdownCommand) Run(k *kong.Kong) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	s, err := RunSlowdown(ctx, o, c.ShortTokens)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, s); err != nil {
			return err
		}
	}
	for _, r := range []*Report{s.Alone, s.With} {
		if err := r.WriteTable(k.Stdout); err != nil {
			return err
		}
	}
	if err := s.WriteTable(k.Stdout); err != nil {
		return err
	}
	return failOnViolations(s.Alone, s.With)
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
	Standin       string        `required:"" help:"Base URL of the stand-ins' controls."`
	Key           string        `default:"order-desk-key" help:"Bearer key of a workspace that may use the service and the model."`
	Service       string        `default:"orders" help:"Plain service with the calls GET /stock/* and POST /orders."`
	Model         string        `default:"herder-replies" help:"Service that answers chats."`
	Measure       []string      `default:"latency,crash,throughput" enum:"latency,silence,crash,restart,throughput" help:"What to measure, in this order (${enum}). silence needs a fleet in one process (bilberry-dev); during restart the operator restarts the processes."`
	Seed          uint64        `default:"1" help:"Seed of contents and order."`
	KeyPrefix     string        `help:"Part of the idempotency keys; a new one repeats a measurement on a running fleet."`
	Samples       int           `default:"300" help:"Requests of each kind, or streams of silence."`
	RestartWindow time.Duration `default:"60s" help:"Length of restart."`
	JSON          string        `name:"json" type:"path" help:"Write the figures to this file."`
}

// Validate checks the numbers. Kong calls it after parsing.
func (c *PathsCommand) Validate() error {
	if c.Samples <= 0 || c.RestartWindow <= 0 {
		return errors.New("--samples and --restart-window must be positive")
	}
	return nil
}

// Run takes the measurements and prints the figures, also those before a measurement that failed.
func (c *PathsCommand) Run(k *kong.Kong) error {
	ctx, stop := untilSignal()
	defer stop()
	figures, runErr := RunPaths(ctx, PathsOptions{Entries: c.Entries, Standin: c.Standin, Key: c.Key, Service: c.Service,
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
	return runErr
}
