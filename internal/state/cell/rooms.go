package cell

import "github.com/ibischute/ibischute/internal/state/cover"

// rooms finds the executors of a pool that have the room for a task, in the order of their ids. The room is that at
// present: each run that is added or removed changes it.
type rooms struct {
	cell *Cell
	pool []*executor
	tree cover.Tree
}

// newRooms returns the rooms of the pool. It replaces those of the service's last pass.
func (c *Cell) newRooms(service string, pool []*executor) *rooms {
	m, ok := c.rooms[service]
	if !ok {
		m = &rooms{cell: c}
		c.rooms[service] = m
	}
	m.pool = pool
	m.tree.Reset(len(pool), func(i int) cover.Amounts {
		pool[i].rooms, pool[i].position = m, i
		return c.roomAmounts(pool[i])
	})
	return m
}

// roomsOf returns the rooms of the usable executors of the service.
func (p *pass) roomsOf(service string) *rooms {
	m, ok := p.rooms[service]
	if !ok {
		m = p.cell.newRooms(service, p.pools[service])
		p.rooms[service] = m
	}
	return m
}

// forEachWithRoom calls f for each usable executor that has the resources for a task of the step, in the order of
// their ids. For a best-effort task, the CPU at the index bestEffort counts. f must not change the room.
func (p *pass) forEachWithRoom(s *step, need resources, bestEffort int, f func(x *executor)) {
	m, amounts := p.roomsOf(s.job.queue.Service), neededAmounts(s, need, bestEffort)
	for i := m.tree.Next(0, amounts); i < len(m.pool); i = m.tree.Next(i+1, amounts) {
		f(m.pool[i])
	}
}

// The indexes of the CPU that is free for best-effort tasks: on all executors, on those without a latency-critical run
// above its target, where overdue tasks may start, and on those without one near it.
const (
	anyTarget = iota + 3
	nearTarget
	belowTarget
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
		a[belowTarget] = cover.Lowest
	}
	if t.isOverTarget {
		a[nearTarget] = cover.Lowest
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

// updateRoom applies a change of the executor's free resources to the rooms that it belongs to, if any.
func (x *executor) updateRoom() {
	m := x.rooms
	if m != nil && x.position < len(m.pool) && m.pool[x.position] == x {
		m.tree.Set(x.position, m.cell.roomAmounts(x))
	}
}
