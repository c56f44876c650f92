package cell

import (
	"fmt"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/book"
)

func (sim *simulation) submit(j *jobpb.Job) {
	sim.jobs[j.Id] = j
	j.AcceptedMs = sim.wallMS()
	rec, err := intakeRecord(book.JobKey(j.Id), &jobpb.Intake{Job: j})
	if err != nil {
		sim.recordViolation("encode intake of a job: %v", err)
		return
	}
	sim.intake(rec)
}

func (sim *simulation) cancel(id string) {
	rec, err := intakeRecord(book.CancelKey(id), &jobpb.Intake{Cancel: true})
	if err != nil {
		sim.recordViolation("encode cancellation: %v", err)
		return
	}
	sim.cancelled[id] = sim.now
	sim.intake(rec)
}

func (sim *simulation) intake(rec logs.Record) {
	id, err := sim.book.Intake(rec)
	if err != nil {
		sim.recordViolation("apply intake record: %v", err)
		return
	}
	e, ok := sim.book.Job(id)
	l := sim.currentLeader()
	if !ok || l.isKilled || l.isIsolated {
		return
	}
	l.cell.Accept(sim.now, e.Job)
	if e.Cancelled {
		l.cell.Cancel(sim.now, id)
	}
}

// randomJob returns the job with the index i, with random steps.
func (sim *simulation) randomJob(i int) *jobpb.Job {
	j := &jobpb.Job{Id: fmt.Sprintf("%016x", i), Queue: "q", Service: "svc", Spec: "s"}
	for n := range 1 + sim.rnd.IntN(3) {
		s := &jobpb.Step{
			Count: uint32(1 + sim.rnd.IntN(4)), MilliCpu: uint32(500 + sim.rnd.IntN(4000)), MemoryMb: 1000,
			EstimateMs: uint32(200 + sim.rnd.IntN(2500)), Checkpointing: sim.rnd.IntN(2) == 0,
		}
		if n > 0 {
			s.DependsOn = []uint32{uint32(sim.rnd.IntN(n))}
		}
		if sim.rnd.IntN(4) == 0 {
			s.MaxPerExecutor = 1
		}
		if sim.rnd.IntN(5) == 0 {
			s.RequiresLabel = "a"
		}
		j.Steps = append(j.Steps, s)
	}
	if sim.rnd.IntN(6) == 0 {
		j.Steps = []*jobpb.Step{{Count: 2, MilliCpu: 1000, MemoryMb: 500, LongRunning: true, TargetMs: 50, Image: "i"}}
	}
	return j
}
