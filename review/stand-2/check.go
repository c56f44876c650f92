package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// behavior is how the tasks of a step behave.
type behavior struct {
	cpu    int64
	needMS float64
	saves  bool
	// gang is the number of members, 0 if the step is no gang.
	gang int
	// failShare is the share of runs that fail.
	failShare float64
	lasting   bool
}

// resumeFrom returns the work that a checkpoint stands for.
func (b behavior) resumeFrom(checkpoint string) float64 {
	_, ms, ok := strings.Cut(checkpoint, "@")
	if !ok {
		return 0
	}
	n, _ := strconv.ParseFloat(ms, 64)
	return n
}

// stepSpec is a step of a job as the client sends it, with its behavior.
type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"mem_mb,omitempty"`
	EstimateMS   int    `json:"estimate_ms,omitempty"`
	DependsOn    []int  `json:"depends_on,omitempty"`
	Checkpointed bool   `json:"checkpointing,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Local        bool   `json:"locality_sensitive,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
	b            behavior
}

// jobSpec is a job with what the clients and the executors have seen of it.
type jobSpec struct {
	Spec        string     `json:"spec"`
	Steps       []stepSpec `json:"steps"`
	RepeatCount int        `json:"repeat_count,omitempty"`
	StartMS     int64      `json:"start_time_ms,omitempty"`
	IntervalMS  int64      `json:"interval_ms,omitempty"`

	id, queue   string
	maxAttempts int
	// acceptedAt is when a 2xx answer came; attempts counts the sends, rejected those answered 429, 503 or 404.
	acceptedAt         time.Time
	attempts, rejected int
	cancelSentAt       time.Time
	cancelledAt        time.Time
	hasStarted         bool
	state              string
}

// taskState is what the executors have seen of one task.
type taskState struct {
	runs []*run
	// done has the runs that have ended done, with whether that end was taken note of, and those started after it.
	done        []*doneEnd
	failedAcked int
	failed      int
	lastOverAt  time.Time
	// isReported is true once the task was found without a run for too long.
	isReported bool
}

type doneEnd struct {
	run     *run
	isAcked bool
	// later has the runs that were started after the end.
	later []string
}

// checker checks the rules from what clients and executors see. It is guarded by the mutex of the world.
type checker struct {
	w      *world
	jobs   map[string]*jobSpec
	tasks  map[taskName]*taskState
	breaks []string
}

func (c *checker) fail(rule, format string, args ...any) {
	s := rule + ": " + fmt.Sprintf(format, args...)
	c.breaks = append(c.breaks, s)
	c.w.noteLocked("BROKEN %s", s)
}

func (c *checker) task(t taskName) *taskState {
	s := c.tasks[t]
	if s == nil {
		s = &taskState{}
		c.tasks[t] = s
	}
	return s
}

func (c *checker) step(t taskName) *stepSpec {
	j := c.jobs[t.job]
	if j == nil || t.step >= len(j.Steps) || t.index >= j.Steps[t.step].Count || t.occ >= max(1, j.RepeatCount) {
		return nil
	}
	return &j.Steps[t.step]
}

func (c *checker) behavior(t taskName) behavior {
	if s := c.step(t); s != nil {
		return s.b
	}
	return behavior{needMS: 500}
}

func (c *checker) drawFailure(t taskName, b behavior) float64 {
	if rand.Float64() >= b.failShare {
		return 0
	}
	if b.needMS == 0 {
		return 200 + 3000*rand.Float64()
	}
	return 1 + b.needMS*rand.Float64()*0.9
}

// started checks a start that the executor is about to make.
func (c *checker) started(r *run, o orderBody) {
	s := c.step(r.task)
	if s == nil {
		c.fail("UNASKED", "%s/%d on %s: no client sent that", r.name, r.number, r.x.id)
		return
	}
	j := c.jobs[r.task.job]
	j.hasStarted = true
	if o.Spec != j.Spec {
		c.fail("UNASKED", "%s/%d on %s: another spec", r.name, r.number, r.x.id)
	}
	if owner, _, ok := strings.Cut(o.Checkpoint, "@"); ok {
		isOwn := owner == r.name || s.Gang && owner == fmt.Sprintf("%s.%d.%d", r.task.job, r.task.occ, r.task.step)
		if !isOwn || !s.b.saves {
			c.fail("UNASKED", "%s/%d on %s: checkpoint %s", r.name, r.number, r.x.id, o.Checkpoint)
		}
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > c.w.cancelWithin {
		c.fail("UNASKED", "%s/%d on %s starts %v after the job was cancelled", r.name, r.number, r.x.id, time.Since(j.cancelledAt))
	}
	ts := c.task(r.task)
	for _, other := range ts.runs {
		if !other.isOver && !s.Speculative {
			c.fail("TWICE", "%s/%d starts on %s while run %d runs on %s", r.name, r.number, r.x.id, other.number, other.x.id)
		}
	}
	for _, d := range ts.done {
		text := fmt.Sprintf("%s/%d starts on %s after run %d has ended done on %s", r.name, r.number, r.x.id, d.run.number, d.run.x.id)
		switch {
		case s.Speculative || s.LongRunning:
		case d.isAcked:
			c.fail("TWICE", "%s, taken note of before", text)
		default:
			d.later = append(d.later, text)
		}
	}
	if ts.failedAcked >= j.maxAttempts && !s.LongRunning && !s.Gang {
		c.fail("BUDGET", "%s/%d starts on %s after %d failed runs", r.name, r.number, r.x.id, ts.failedAcked)
	}
	for _, d := range s.DependsOn {
		for i := range j.Steps[d].Count {
			if len(c.task(taskName{r.task.job, r.task.occ, d, i}).done) == 0 && !j.Steps[d].Gang {
				c.fail("ORDER", "%s/%d starts on %s before step %d is done", r.name, r.number, r.x.id, d)
				break
			}
		}
	}
	if j.RepeatCount > 0 {
		due := time.UnixMilli(j.StartMS + int64(r.task.occ)*j.IntervalMS)
		if early := time.Until(due); early > 250*time.Millisecond {
			c.fail("ORDER", "%s/%d starts on %s %v before its time", r.name, r.number, r.x.id, early)
		}
	}
	ts.runs = append(ts.runs, r)
}

func (c *checker) endedRun(r *run, how string) {
	ts := c.task(r.task)
	ts.lastOverAt = time.Now()
	switch how {
	case "done":
		ts.done = append(ts.done, &doneEnd{run: r})
	case "failed":
		ts.failed++
	case "alone":
		if j := c.jobs[r.task.job]; j != nil && j.cancelSentAt.IsZero() && c.w.isCalm(time.Now()) {
			c.fail("GANG", "%s/%d on %s ends alone", r.name, r.number, r.x.id)
		}
	}
}

// acked notes that an end was taken note of.
func (c *checker) acked(e endRow) {
	ts := c.task(e.run.task)
	switch e.how {
	case "failed":
		if !e.isLapsed {
			ts.failedAcked++
		}
	case "done":
		for _, d := range ts.done {
			if d.run != e.run || e.isLapsed {
				continue
			}
			d.isAcked = true
			for _, text := range d.later {
				c.fail("TWICE", "%s, taken note of afterwards", text)
			}
			d.later = nil
		}
	}
}
