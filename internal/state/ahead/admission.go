package ahead

import "github.com/ibischute/ibischute/pkg/tick"

// Admits reports whether the reservations permit a task to start on the executor, which describe describes.
func (p *Planner) Admits(now tick.Time, executor string, c Claim, describe func() Executor) bool {
	v := p.reservations[executor]
	if v == nil || v.Step == c.Step || c.Priority < v.priority {
		return true
	}
	if c.EndsAt != 0 && !c.EndsAt.After(v.RoomAt) {
		return true
	}
	x := describe()
	room := x.Free.Plus(c.Need.Times(-1))
	for _, e := range x.Releases {
		if !e.At.After(v.RoomAt) {
			room = room.Plus(e.Room)
		}
	}
	if room.coversRoom(v.need) {
		return true
	}
	return p.isDelayedTooLong(now, c.Step) && (c.IsLongRunning || !p.hasPrecedence(now, v.Step))
}

// isDelayedTooLong notes that a reservation keeps the step from starting, and reports whether reservations have done so
// for maxDelay.
func (p *Planner) isDelayedTooLong(now tick.Time, s Step) bool {
	d, ok := p.delayed[s]
	if !ok && len(p.delayed) == maxDelayed {
		return false
	}
	if !ok || now.Sub(d.last) > maxDelayGap {
		d.since = now
	}
	d.last = now
	p.delayed[s] = d
	return now.Sub(d.since) >= maxDelay
}

// hasPrecedence reports whether the step has waited longer than its patience, and longest among the holders of
// reservations in its pool that have.
func (p *Planner) hasPrecedence(now tick.Time, s Step) bool {
	w := p.waits[s]
	if w == nil || !w.isPatienceOver(now) {
		return false
	}
	for _, o := range p.waits {
		isOtherHolder := o != w && o.request.Pool == w.request.Pool && len(o.reserved) > 0 && o.isPatienceOver(now)
		if isOtherHolder && o.isBefore(w) {
			return false
		}
	}
	return true
}

func (w *wait) isPatienceOver(now tick.Time) bool {
	return now.Sub(w.request.Since) >= min(maxPatience, w.request.Patience)
}

// isBefore orders waiting steps by the time since when they wait.
func (w *wait) isBefore(o *wait) bool {
	if w.request.Since != o.request.Since {
		return w.request.Since.Before(o.request.Since)
	}
	return w.request.Step.Job < o.request.Step.Job
}
