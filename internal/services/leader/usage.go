package leader

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/internal/state/delay"
)

// summary returns an info line that is not subject to the limit of lines per second. The lines for single tasks of a
// large fleet reach that limit when the summaries are needed most.
func (t *term) summary() *zerolog.Event {
	logger := t.opts.Logger.Sample(nil)
	return logger.Info().Uint64("epoch", t.epoch)
}

// logUsage reports the usage in the log and in the metrics. Their names differ from the fields: lasting means
// long-running, filling best-effort, serving latency-critical, and slowed throttled.
func (t *term) logUsage(u cell.Usage) {
	t.setUsageGauges(u)
	t.summary().Int("jobs", u.Jobs).Int64("cores", u.Cores).
		Int64("used-cores", u.UsedCores).Int64("lasting-cores", u.LongRunningCores).Int64("filling-cores", u.BestEffortCores).
		Int("waiting-short", u.WaitingShort).Int("waiting-lasting", u.WaitingLongRunning).
		Int("waiting-filling", u.WaitingBestEffort).Int("serving", u.LatencyCritical).Int("over-target", u.OverTarget).
		Int("filling", u.BestEffort).Int("slowed", u.Throttled).Int("awaited-executors", u.AwaitedExecutors).
		Int("slow-executors", u.SlowExecutors).Int("crashing-tasks", u.CrashingTasks).
		Int("placed", u.Placed).Int64("placed-cores", u.PlacedCores).Int("over-capacity-executors", u.OverCapacity).
		Int("delayed", countDelayed(u)).
		Msg("cell-usage")
}

// logStartWindow reports the limit of the start orders in flight and their number. It logs them only if the limit is
// below maxQueuedStarts.
func (t *term) logStartWindow(limit, inFlight int) {
	t.opts.Meter.Gauge("start_window_limit", nil, float64(limit))
	t.opts.Meter.Gauge("start_window_in_flight", nil, float64(inFlight))
	if limit < maxQueuedStarts {
		t.summary().Int("limit", limit).Int("in-flight", inFlight).Msg("start-window")
	}
}

// countDelayed returns the number of delayed steps and runs of all causes.
func countDelayed(u cell.Usage) int {
	n := 0
	for _, k := range u.Delayed {
		n += k
	}
	return n
}

func (t *term) setUsageGauges(u cell.Usage) {
	for _, cause := range cell.WaitCauses() {
		t.opts.Meter.Gauge("cell_delayed", map[string]string{"cause": string(cause)}, float64(u.Delayed[cause]))
	}
	for _, d := range u.Durations {
		t.opts.Meter.Gauge("duration_ratio", map[string]string{"queue": d.Queue, "quantile": "median"}, d.Median)
		t.opts.Meter.Gauge("duration_ratio", map[string]string{"queue": d.Queue, "quantile": "high"}, d.High)
	}
	for name, v := range map[string]int64{
		"jobs": int64(u.Jobs), "cores": u.Cores, "cores_used": u.UsedCores, "cores_lasting": u.LongRunningCores,
		"cores_filling": u.BestEffortCores, "waiting_short": int64(u.WaitingShort),
		"waiting_lasting": int64(u.WaitingLongRunning), "waiting_filling": int64(u.WaitingBestEffort),
		"serving": int64(u.LatencyCritical), "over_target": int64(u.OverTarget),
		"placed": int64(u.Placed), "placed_cores": u.PlacedCores,
		"filling": int64(u.BestEffort), "slowed": int64(u.Throttled),
		"awaited_executors": int64(u.AwaitedExecutors), "slow_executors": int64(u.SlowExecutors),
		"crashing_tasks":          int64(u.CrashingTasks),
		"over_capacity_executors": int64(u.OverCapacity),
	} {
		t.opts.Meter.Gauge("cell_"+name, nil, float64(v))
	}
}

// logStartDelays reports the mean duration of the stages of first starts, by queue, and those of the longest one.
func (t *term) logStartDelays(entries []delay.Entry) {
	for _, e := range entries {
		mean := e.Mean()
		t.summary().Str("queue", string(e.Queue)).Int("starts", e.Starts).
			Dur("placing-ms", mean.Placing).Dur("recording-ms", mean.Recording).Dur("ordering-ms", mean.Ordering).
			Dur("longest-placing-ms", e.Longest.Placing).Dur("longest-recording-ms", e.Longest.Recording).
			Dur("longest-ordering-ms", e.Longest.Ordering).Msg("start-delays")
	}
}

// planTimes are the durations of the parts of planLoop since they were last reported.
type planTimes struct {
	plans int
	// locking is the wait for the mutex, planning the time in the cell, and pausing the pause after a plan.
	locking, planning, pausing time.Duration
	longestPlanning            time.Duration
	// late is by how much pauses ended later than due: the time that a goroutine waits for the processor.
	late callTimes
}

func (p *planTimes) add(locking, planning time.Duration) {
	p.plans++
	p.locking += locking
	p.planning += planning
	p.longestPlanning = max(p.longestPlanning, planning)
}

// callTimes are the calls of one kind since they were last reported.
type callTimes struct {
	calls int
	// size is the sum of their sizes, in a unit that depends on the kind.
	size          int
	took, longest time.Duration
}

func (c *callTimes) add(size int, took time.Duration) {
	c.calls++
	c.size += size
	c.took += took
	c.longest = max(c.longest, took)
}

// mean returns the mean duration of a call.
func (c *callTimes) mean() time.Duration { return c.took / time.Duration(max(1, c.calls)) }

// logCallTimes reports the appends of records, the responses to start orders, and the lists with the ends in them.
func (t *term) logCallTimes(appends, starts, lists callTimes) {
	t.summary().Int("appends", appends.calls).Int("append-bytes", appends.size).Dur("append-ms", appends.mean()).
		Dur("longest-append-ms", appends.longest).Int("start-responses", starts.calls).
		Dur("start-response-ms", starts.mean()).Dur("longest-start-response-ms", starts.longest).
		Int("lists", lists.calls).Int("listed-ends", lists.size).Msg("call-times")
}

// countStarts adds the stages of first starts to startDelays. The caller must hold the mutex.
func (t *term) countStarts(events []cell.Event) {
	for _, e := range events {
		if e.FirstWait != nil {
			t.startDelays.Add(e.Queue, e.Stages)
		}
	}
}

func (t *term) logPlanTimes(p planTimes) {
	t.summary().Int("plans", p.plans).Dur("locking-ms", p.locking).
		Dur("planning-ms", p.planning).Dur("longest-planning-ms", p.longestPlanning).Dur("pausing-ms", p.pausing).
		Dur("processor-wait-ms", p.late.mean()).Dur("longest-processor-wait-ms", p.late.longest).Msg("plan-times")
}

func (t *term) logEvents(events []cell.Event) {
	for _, e := range events {
		t.opts.Meter.Count("decisions", map[string]string{"event": e.Name}, 1)
		if w := e.FirstWait; w != nil {
			labels := map[string]string{"kind": string(w.Kind), "size": string(w.Size)}
			t.opts.Meter.Observe("task_wait_seconds", labels, w.Duration)
			t.opts.Meter.Observe("queue_wait_seconds", map[string]string{"queue": string(e.Queue)}, w.Duration)
		}
		l := t.opts.Logger.Info().Uint64("epoch", t.epoch)
		if e.Task.Job != "" {
			l = l.Str("job", e.Task.Job).Uint32("occurrence", e.Task.Occurrence).Uint32("step", e.Task.Step).
				Uint32("task", e.Task.Index)
		}
		if e.Run != 0 {
			l = l.Uint64("run", e.Run)
		}
		if e.Executor != "" {
			l = l.Str("executor", e.Executor)
		}
		if e.Detail != "" {
			l = l.Str("detail", e.Detail)
		}
		if r := e.Entry; r != nil {
			l = l.Int64("born", r.StartedMS).Int64("listed-born", r.ListedMS).Dur("entry-age", r.Age)
		}
		l.Msg(e.Name)
	}
}
