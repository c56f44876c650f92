package tasks

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// loadedBoard returns a board whose workers run the given number of tasks and have free capacity left.
func loadedBoard(workers, running int) (*Board, tick.Time) {
	b := NewBoard(Options{Epoch: 1, Lease: time.Minute, Since: 1})
	now := tick.Time(2)
	for i := range workers {
		name := ident.Worker(fmt.Sprintf("w%d", i))
		b.PutWorker(Worker{Name: name, Rack: fmt.Sprint(i / 11), Capacity: demand.Vector{CPU: 64_000, Memory: 250_000}})
		b.ApplyReport(now, now, name, nil, false)
	}
	for i := range running {
		b.PutTask(Spec{
			Key:  Key{Job: ident.Job(fmt.Sprintf("j%d", i/20)), Index: uint32(i % 20)},
			Size: demand.Vector{CPU: 1000, Memory: 1000}, Team: ident.Team(fmt.Sprint(i % 260)), Order: uint64(i),
		})
	}
	for len(b.pending) > 0 {
		for _, a := range b.Plan(now) {
			b.Started(now, a.Task.Spec.Key, a.Number, nil)
		}
	}
	return b, now
}

// BenchmarkPlan measures one start: a task is added, placed, confirmed and removed.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, running int }{{90, 2300}, {610, 17300}} {
		for _, batch := range []int{1, 43} {
			b.Run(fmt.Sprintf("workers=%d/running=%d/starts=%d", size.workers, size.running, batch), func(b *testing.B) {
				board, now := loadedBoard(size.workers, size.running)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					planOnce(board, now, i, batch)
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*batch), "us/start")
			})
		}
	}
}

func planOnce(board *Board, now tick.Time, round, batch int) {
	for i := range batch {
		board.PutTask(Spec{
			Key:  Key{Job: ident.Job(fmt.Sprintf("new%d", round)), Index: uint32(i)},
			Size: demand.Vector{CPU: 1000, Memory: 1000}, Team: ident.Team(fmt.Sprint(i % 260)), Order: uint64(round),
		})
	}
	for _, a := range board.Plan(now) {
		k := a.Task.Spec.Key
		board.Started(now, k, a.Number, nil)
		board.markFinished(board.tasks[k])
		board.DropTask(k)
	}
}

// BenchmarkBoard measures the memory of one running task.
func BenchmarkBoard(b *testing.B) {
	b.ReportAllocs()
	board, _ := loadedBoard(max(1, b.N/28), b.N)
	if len(board.tasks) != b.N {
		b.Fatal("tasks are missing")
	}
}
