package placer

import (
	"fmt"
	"regexp"
	"time"

	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// validate rejects jobs whose specification is invalid or that can never run.
func (p *Placer) validate(s *wire.JobSpec) error {
	run := time.Duration(s.GetRunMs()) * time.Millisecond
	switch {
	case !namePattern.MatchString(s.GetId()):
		return badRequest("id must be 1 to 64 of a-z, 0-9 and '-'")
	case !namePattern.MatchString(s.GetTeam()):
		return badRequest("team must be 1 to 64 of a-z, 0-9 and '-'")
	case s.GetTasks() < 1 || s.GetTasks() > maxTasksPerJob:
		return badRequest(fmt.Sprintf("tasks must be 1 to %d", maxTasksPerJob))
	case s.GetMilliCpu() < 1 || s.GetMemoryMb() < 1:
		return badRequest("a task needs at least 1 milli-cpu and 1 memory-mb")
	case run < time.Millisecond || run > maxRunTime:
		return badRequest(fmt.Sprintf("run-ms must be 1 to %d", maxRunTime.Milliseconds()))
	}
	return p.checkFits(s)
}

func badRequest(detail string) error { return fault.New(fault.CodeBadRequest, fault.NotRun, detail) }

// checkFits rejects a job whose tasks are larger than every worker of any domain. If no workers are known, it accepts
// the job.
func (p *Placer) checkFits(s *wire.JobSpec) error {
	var largest demand.Vector
	hasWorkers := false
	for _, e := range p.opts.Roster().Entries {
		if e.Kind != roster.KindWorker || e.Leaving {
			continue
		}
		hasWorkers = true
		free := e.Capacity.Minus(e.Reserved)
		if sizeOf(s).Fits(free) {
			return nil
		}
		if free.CPU > largest.CPU {
			largest = free
		}
	}
	if !hasWorkers {
		return nil
	}
	return badRequest(fmt.Sprintf(
		"no worker can ever run a task of this size; the largest has %d milli-cpu, %d memory-mb "+
			"and %d accelerators", largest.CPU, largest.Memory, largest.Accelerators))
}

func sizeOf(s *wire.JobSpec) demand.Vector {
	return demand.Vector{
		CPU: demand.MilliCPU(s.GetMilliCpu()), Memory: demand.Megabytes(s.GetMemoryMb()),
		Accelerators: int64(s.GetAccelerators()),
	}
}
