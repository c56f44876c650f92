package ahead

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// Search looks for the executors on which the room for the request is there first, among n executors. It returns the
// reservations that it has made: one for a task, one or more for a gang. A search of many executors continues in the
// next pass. The function at describes an executor; its result is not retained. It returns false for an executor that
// cannot take the step, or has no room for it at any time.
func (p *Planner) Search(now tick.Time, r Request, n int, at func(i int) (Executor, bool)) []Reservation {
	w := p.waits[r.Step]
	if w == nil {
		return nil
	}
	for ; w.next < n && p.budget > 0; w.next++ {
		x, ok := at(w.next)
		p.budget -= 1 + len(x.Releases)
		if !ok || p.reservations[x.ID] != nil {
			continue
		}
		if _, isAvoided := p.avoided[avoidance{r.Step, x.ID}]; !isAvoided {
			w.consider(now, x)
		}
	}
	if w.next < n {
		return nil
	}
	return p.reserve(now, w)
}

// consider adds the places on the executor to the best ones that the search has found.
func (w *wait) consider(now tick.Time, x Executor) {
	r := w.request
	limit := now.Add(horizon)
	if len(w.found) == r.Tasks {
		limit = w.found[len(w.found)-1].at
	}
	all := x.Free
	for _, e := range x.Releases {
		if !e.At.After(limit) {
			all = all.Plus(e.Room)
		}
	}
	if !all.Covers(r.Need) {
		return
	}
	slices.SortFunc(x.Releases, func(a, b Release) int { return cmp.Compare(a.At, b.At) })
	free, at := x.Free, now
	for i := 0; ; i++ {
		for n := 0; n < r.Tasks && free.Covers(r.Need); n++ {
			free = free.Plus(r.Need.Times(-1))
			if !w.add(place{at, x.ID}) {
				return
			}
		}
		if i == len(x.Releases) || x.Releases[i].At.After(limit) {
			return
		}
		at = max(at, x.Releases[i].At)
		free = free.Plus(x.Releases[i].Room)
	}
}

// add adds a place and keeps the earliest ones, as many as the request has tasks. It returns false if the place is not
// among them.
func (w *wait) add(p place) bool {
	i, _ := slices.BinarySearchFunc(w.found, p, func(a, b place) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	if i >= w.request.Tasks {
		return false
	}
	w.found = slices.Insert(w.found, i, p)
	w.found = w.found[:min(len(w.found), w.request.Tasks)]
	return true
}

// reserve reserves the places that the search has found, if they are enough.
func (p *Planner) reserve(now tick.Time, w *wait) []Reservation {
	r, found := w.request, w.found
	w.restart()
	if len(found) < r.Tasks || r.Tasks == 0 {
		return nil
	}
	roomAt := max(now, found[len(found)-1].at)
	margin := time.Duration(marginShare * float64(roomAt.Sub(now)))
	margin = min(maxMargin, max(minMargin, margin))
	var out []Reservation
	for _, f := range found {
		if v := p.reservations[f.executor]; v != nil {
			v.need = v.need.Plus(r.Need)
			continue
		}
		p.reservations[f.executor] = &Reservation{
			Step: r.Step, Executor: f.executor, RoomAt: roomAt,
			priority: r.Priority, need: r.Need, expiresAt: roomAt.Add(margin),
		}
		w.reserved = append(w.reserved, f.executor)
	}
	for _, id := range w.reserved {
		out = append(out, *p.reservations[id])
	}
	return out
}
