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
	Reports []string `arg:"" type:"existingfile" help:"JSON reports of slowdown; the file name gives the row its name."`
}

// Run prints the table.
func (c *TableCommand) Run(k *kong.Kong) error {
	if _, err := io.WriteString(k.Stdout, markdownHead); err != nil {
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
	if s.Alone == nil || s.With == nil {
		return nil, errors.Errorf("%s is not a report of slowdown", path)
	}
	return s, nil
}

const markdownHead = "| policy | prompt | sent | failed | TTFT p50 [s] | p95 | p99 | TTFT over target p95 | between tokens p95 [ms] | slowdown p95 |\n" +
	"|---|---|---|---|---|---|---|---|---|---|\n"

// writeMarkdown writes one row for each series of chats. Only series that ran in both phases have a slowdown.
func (s *Slowdown) writeMarkdown(w io.Writer, name string) error {
	const second = 1000 // milliseconds
	for _, b := range s.With.Series {
		if b.Class == ClassNone {
			continue
		}
		slowdown := "-"
		if a := s.Alone.find(b.Name()); a.First.Count > 0 {
			slowdown = ratio(b.First.P95, a.First.P95)
		}
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %d | %.2f | %.2f | %.2f | %.2f | %.0f | %s |\n", name, b.Class, b.Sent, b.Sent-b.OK(),
			b.First.P50/second, b.First.P95/second, b.First.P99/second, b.Target.P95, b.PerToken.P95, slowdown)
		if err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return nil
}
