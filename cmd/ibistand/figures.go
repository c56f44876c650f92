package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ibischute/ibischute/internal/stand/fleet"
	"github.com/ibischute/ibischute/pkg/fault"
)

// figures are the results of one run.
type figures struct {
	experiment string
	way        way
	offered    float64
	counts     map[string]int
	p50, p99   float64
	p999       float64
	goodput    float64
	wasted     float64
	violations int
	// perCore is the answers for each second of processor time of the entry instances.
	perCore float64
}

func (s *sender) figures(x experiment, w way, rate float64, took time.Duration, v fleet.Verdict) figures {
	ms := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1000 }
	out := figures{
		experiment: x.name, way: w, offered: rate, counts: s.counts, p50: ms(50), p99: ms(99), p999: ms(99.9),
		goodput: float64(s.counts["answered"]) / took.Seconds(), violations: len(v.Violations),
	}
	var busy, wasted int64
	for _, e := range v.Executors {
		busy += e.BusyMS
		wasted += e.WastedMS
	}
	if busy > 0 {
		out.wasted = float64(wasted) / float64(busy)
	}
	return out
}

func (f figures) row() []string {
	n := func(name string) string { return strconv.Itoa(f.counts[name]) }
	d := func(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
	return []string{
		f.experiment, string(f.way), strconv.Itoa(int(f.offered)), n("answered"), n("refused"), n("cancelled"),
		n("failed"), d(f.p50), d(f.p99), d(f.p999), strconv.Itoa(int(f.goodput)), d(100 * f.wasted),
		strconv.Itoa(f.violations), strconv.Itoa(int(f.perCore)),
	}
}

var figureNames = []string{
	"experiment", "way", "offered/s", "answered", "refused", "cancelled", "failed", "p50-ms", "p99-ms", "p99.9-ms",
	"goodput/s", "wasted-%", "violations", "answers/core-s",
}

func printFigures(out io.Writer, all []figures) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, strings.Join(figureNames, "\t"))
	for _, f := range all {
		fmt.Fprintln(w, strings.Join(f.row(), "\t"))
	}
}

func writeCSV(path string, all []figures) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --csv")
	}
	defer file.Close()
	w := csv.NewWriter(file)
	if err := w.Write(figureNames); err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.Unknown, "write figures")
	}
	for _, f := range all {
		if err := w.Write(f.row()); err != nil {
			return fault.Wrap(err, fault.CodeInternal, fault.Unknown, "write figures")
		}
	}
	w.Flush()
	return w.Error()
}
