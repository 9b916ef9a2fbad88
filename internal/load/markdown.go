package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// TableCommand is `bilberry-load table`.
type TableCommand struct {
	Reports []string `arg:"" type:"existingfile" help:"JSON reports of the slowdown command; the file name without extension names the rows."`
}

// Run prints the table.
func (c *TableCommand) Run(k *kong.Kong) error {
	if _, err := io.WriteString(k.Stdout, markdownHeader); err != nil {
		return errors.Wrap(err, "write table")
	}
	for _, path := range c.Reports {
		s, err := readSlowdown(path)
		if err != nil {
			return err
		}
		if err := s.writeMarkdown(k.Stdout, PlotName(path)); err != nil {
			return err
		}
	}
	return nil
}

func readSlowdown(path string) (*Slowdown, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	s := new(Slowdown)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrapf(err, "decode %s", path)
	}
	if s.ShortOnly == nil || s.WithLong == nil {
		return nil, errors.Errorf("%s is not a report of slowdown", path)
	}
	return s, nil
}

const markdownHeader = "| policy | prompt | sent | failed | TTFT p50 [s] | p95 | p99 | TTFT over target p95 | between tokens p95 [ms] | slowdown p95 |\n" +
	"|---|---|---|---|---|---|---|---|---|---|\n"

// writeMarkdown writes one row for each series of chats of the phase with long requests. Only series that ran in both
// phases have a slowdown.
func (s *Slowdown) writeMarkdown(w io.Writer, name string) error {
	const millisPerSecond = 1000
	for _, withLong := range s.WithLong.Series {
		if withLong.Class == ClassCall {
			continue
		}
		slowdown := "-"
		if shortOnly := s.ShortOnly.seriesByName(withLong.Name()); shortOnly.FirstToken.Count > 0 {
			slowdown = formatRatio(withLong.FirstToken.P95, shortOnly.FirstToken.P95)
		}
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %d | %.2f | %.2f | %.2f | %.2f | %.0f | %s |\n",
			name, withLong.Class, withLong.Sent, withLong.Sent-withLong.OK(),
			withLong.FirstToken.P50/millisPerSecond, withLong.FirstToken.P95/millisPerSecond, withLong.FirstToken.P99/millisPerSecond,
			withLong.FirstTokenOverTarget.P95, withLong.TimePerToken.P95, slowdown)
		if err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return nil
}
