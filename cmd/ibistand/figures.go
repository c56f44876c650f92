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

// loadResult holds the measurements of one load run.
type loadResult struct {
	experiment  string
	mode        dispatchMode
	offeredRate float64
	counts      map[string]int
	p50, p99    float64
	p999        float64
	goodput     float64
	wastedShare float64
	violations  int
	// answersPerCoreSecond is the number of answers per second of processor time of the entry instances.
	answersPerCoreSecond float64
}

func (s *sender) result(
	x experiment, mode dispatchMode, rate float64, elapsed time.Duration, report fleet.Report,
) loadResult {
	ms := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1000 }
	out := loadResult{
		experiment: x.name, mode: mode, offeredRate: rate, counts: s.counts, p50: ms(50), p99: ms(99), p999: ms(99.9),
		goodput: float64(s.counts["answered"]) / elapsed.Seconds(), violations: len(report.Violations),
	}
	var busy, wasted int64
	for _, e := range report.Executors {
		busy += e.BusyMS
		wasted += e.WastedMS
	}
	if busy > 0 {
		out.wastedShare = float64(wasted) / float64(busy)
	}
	return out
}

func (r loadResult) row() []string {
	n := func(name string) string { return strconv.Itoa(r.counts[name]) }
	d := func(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
	return []string{
		r.experiment, string(r.mode), strconv.Itoa(int(r.offeredRate)), n("answered"), n("refused"), n("cancelled"),
		n("failed"), d(r.p50), d(r.p99), d(r.p999), strconv.Itoa(int(r.goodput)), d(100 * r.wastedShare),
		strconv.Itoa(r.violations), strconv.Itoa(int(r.answersPerCoreSecond)),
	}
}

var resultColumns = []string{
	"experiment", "way", "offered/s", "answered", "refused", "cancelled", "failed", "p50-ms", "p99-ms", "p99.9-ms",
	"goodput/s", "wasted-%", "violations", "answers/core-s",
}

func printResults(out io.Writer, results []loadResult) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, strings.Join(resultColumns, "\t"))
	for _, r := range results {
		fmt.Fprintln(w, strings.Join(r.row(), "\t"))
	}
}

func writeCSV(path string, results []loadResult) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, fault.CodeSetting, fault.NotRun, "flag --csv")
	}
	defer file.Close()
	w := csv.NewWriter(file)
	if err := w.Write(resultColumns); err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.Unknown, "write the CSV file")
	}
	for _, r := range results {
		if err := w.Write(r.row()); err != nil {
			return fault.Wrap(err, fault.CodeInternal, fault.Unknown, "write the CSV file")
		}
	}
	w.Flush()
	return w.Error()
}
