package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/state/delay"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// FirstWait is how long a task waited from when its step was ready until its first start by this leader.
type FirstWait struct {
	Duration time.Duration
	Kind     TaskKind
	Size     TaskSize
}

// TaskKind is the kind of a task.
type TaskKind string

// The kinds of tasks, named as in the metrics.
const (
	KindShort       TaskKind = "short"
	KindLongRunning TaskKind = "lasting"
	KindBestEffort  TaskKind = "filling"
)

// TaskSize is the share of its executor that a task needs, by the resource of which it needs the largest share.
type TaskSize string

// The sizes of tasks. Members of a gang have a size of their own, as they wait for one another.
const (
	SizeSmall  TaskSize = "small"
	SizeMedium TaskSize = "medium"
	SizeLarge  TaskSize = "large"
	SizeGang   TaskSize = "gang"
)

const (
	// mediumShare and largeShare are the shares of an executor from which a task is medium and large.
	mediumShare = 0.125
	largeShare  = 0.5
)

// startEvent returns the event of a start that is made now.
func startEvent(now tick.Time, r *run) Event {
	t, x := r.task, r.exec
	e := Event{Name: "start", Task: t.id, Run: r.id.Number, Executor: x.entry.ID, Entry: x.entryRef(now)}
	if t.startCount == 1 && t.step.readyAt != 0 {
		e.FirstWait = &FirstWait{Duration: now.Sub(t.step.readyAt), Kind: t.step.kind(), Size: t.step.sizeOn(x)}
		e.Queue = queue.Name(t.step.job.pb.Queue)
		e.Stages = r.stages(now)
	}
	return e
}

// stages returns the stages of a first start that is made now.
func (r *run) stages(now tick.Time) delay.Stages {
	return delay.Stages{
		Placing: r.createdAt.Sub(r.task.step.readyAt), Recording: r.recordedAt.Sub(r.createdAt),
		Ordering: now.Sub(r.recordedAt),
	}
}

func (s *step) kind() TaskKind {
	switch {
	case s.pb.Fills:
		return KindBestEffort
	case s.pb.LongRunning:
		return KindLongRunning
	}
	return KindShort
}

// sizeOn returns the size of a task of the step on the executor.
func (s *step) sizeOn(x *executor) TaskSize {
	need := resources{int64(s.pb.MilliCpu), int64(s.pb.MemoryMb), int64(s.pb.Gpus)}
	share := shareOfResources(need, x.total)
	switch {
	case s.pb.Gang:
		return SizeGang
	case share >= largeShare:
		return SizeLarge
	case share >= mediumShare:
		return SizeMedium
	}
	return SizeSmall
}

// shareOfResources returns the largest of the shares that the need has of the total.
func shareOfResources(need, total resources) float64 {
	return max(
		shareOf(need.milliCPU, total.milliCPU), shareOf(need.memoryMB, total.memoryMB), shareOf(need.gpus, total.gpus))
}

func shareOf(need, total int64) float64 { return float64(need) / float64(max(1, total)) }
