package cell

import "github.com/ibischute/ibischute/internal/state/cover"

// roomIndex finds the executors of a pool that have the room for a task, in the order of their ids. The room is that at
// present: each run that is added or removed changes it.
type roomIndex struct {
	cell *Cell
	pool []*executor
	tree cover.Tree
}

// newRoomIndex returns the index of the pool. It replaces that of the service's last pass.
func (c *Cell) newRoomIndex(service string, pool []*executor) *roomIndex {
	m, ok := c.roomIndexes[service]
	if !ok {
		m = &roomIndex{cell: c}
		c.roomIndexes[service] = m
	}
	m.pool = pool
	m.tree.Reset(len(pool), func(i int) cover.Amounts {
		pool[i].roomIndex, pool[i].position = m, i
		return c.roomAmounts(pool[i])
	})
	return m
}

// roomIndexOf returns the index of the usable executors of the service.
func (p *pass) roomIndexOf(service string) *roomIndex {
	m, ok := p.roomIndexes[service]
	if !ok {
		m = p.cell.newRoomIndex(service, p.pools[service])
		p.roomIndexes[service] = m
	}
	return m
}

// forEachWithRoom calls f for each usable executor that has the resources for a task of the step, in the order of
// their ids. For a best-effort task, the CPU at the index bestEffort counts. f must not change the room.
func (p *pass) forEachWithRoom(s *step, need resources, bestEffort int, f func(x *executor)) {
	m, amounts := p.roomIndexOf(s.job.queue.Service), neededAmounts(s, need, bestEffort)
	for i := m.tree.Next(0, amounts); i < len(m.pool); i = m.tree.Next(i+1, amounts) {
		f(m.pool[i])
	}
}

// The indexes in cover.Amounts of the CPU that is free for best-effort tasks: on all executors, on those of which no
// latency-critical run exceeds its target, where overdue tasks may start, and on those of which none is near it.
const (
	bestEffortCPU = iota + 3
	bestEffortCPUAtTargets
	bestEffortCPUBelowTargets
)

// roomAmounts returns the free amounts that allows and hasBestEffortCPU compare with a need. On a reserved executor,
// the tail latencies make no difference, since the look-ahead notes each task that a reservation delays.
func (c *Cell) roomAmounts(x *executor) cover.Amounts {
	free, bestEffort := x.free(), x.freeBestEffortMilliCPU()
	a := cover.Amounts{free.milliCPU, free.memoryMB, free.gpus, bestEffort, bestEffort, bestEffort}
	if c.lookAhead != nil && c.lookAhead.planner.IsReserved(x.entry.ID) {
		return a
	}
	t := x.knownTolerance()
	if t.isNearTarget {
		a[bestEffortCPUBelowTargets] = cover.Lowest
	}
	if t.isOverTarget {
		a[bestEffortCPUAtTargets] = cover.Lowest
	}
	return a
}

// neededAmounts returns the amounts that a task of the step needs, for a best-effort task with the CPU at the index.
func neededAmounts(s *step, need resources, index int) cover.Amounts {
	a := cover.Amounts{need.milliCPU, need.memoryMB, need.gpus, cover.Lowest, cover.Lowest, cover.Lowest}
	if s.pb.Fills {
		a[index] = int64(s.pb.MilliCpu)
	}
	return a
}

// updateRoom applies a change of the executor's free resources to the index that it belongs to, if any.
func (x *executor) updateRoom() {
	m := x.roomIndex
	if m != nil && x.position < len(m.pool) && m.pool[x.position] == x {
		m.tree.Set(x.position, m.cell.roomAmounts(x))
	}
}
