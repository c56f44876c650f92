package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxAdviceExecutors and minAdviceExecutors are the most and the fewest executors in one request to the policy
	// service, as far as there are enough candidates.
	maxAdviceExecutors = 100
	minAdviceExecutors = 10
	// adviceExecutorsPerTask is the number of executors in a request for each waiting task. It is more than one because
	// the service rejects some of them.
	adviceExecutorsPerTask = 2
	// ticketValidityMargin is the part of a ticket's validity that is kept for sending the order.
	ticketValidityMargin = 300 * time.Millisecond
	// adviceRetryPause is the pause after a request that failed.
	adviceRetryPause = 200 * time.Millisecond
)

// ticket lets the tasks of a step start on one executor.
type ticket struct {
	value string
	until tick.Time
}

// stepAdvice has the policy service's decisions on a step. An executor remains approved or rejected, but tickets
// expire.
type stepAdvice struct {
	tickets  map[string]ticket
	rejected map[string]bool
}

// AdviceRequest is a request to the policy service.
type AdviceRequest struct {
	// Step identifies the step by its first task.
	Step      orders.Task
	Executors []string
	// Timeout is the longest time to wait for the answer.
	Timeout time.Duration
}

// NextAdviceRequest returns the next request, for the most urgent step that lacks tickets. Only one request is sent
// at a time, since the service processes the requests of each instance one by one.
func (c *Cell) NextAdviceRequest(now tick.Time) (AdviceRequest, bool) {
	if !c.needsAdvice || c.isAdvicePending || now.Before(c.nextAdviceAt) || c.isFenced {
		return AdviceRequest{}, false
	}
	p := c.newSearch(now)
	for _, s := range c.waitingSteps(now) {
		if s.job.queue.Advice == nil {
			continue
		}
		ids := p.adviceCandidates(s)
		if len(ids) == 0 {
			continue
		}
		c.isAdvicePending = true
		a := s.job.queue.Advice
		decisionTime := a.Decision + time.Duration(len(ids))*a.Period
		return AdviceRequest{Step: s.tasks[0].id, Executors: ids, Timeout: decisionTime + time.Second}, true
	}
	return AdviceRequest{}, false
}

// adviceCandidates returns the executors to include in a request, or none if the tickets of the step suffice.
func (p *pass) adviceCandidates(s *step) []string {
	now := p.now
	if s.advice == nil {
		s.advice = &stepAdvice{tickets: map[string]ticket{}, rejected: map[string]bool{}}
	}
	need := resourcesOf(s.pb)
	var permitted, candidates []*executor
	p.forEachWithRoom(s, need, bestEffortCPU, func(x *executor) {
		p.cell.ratings++
		switch {
		case s.advice.rejected[x.entry.ID], !x.allows(s, need), !x.hasBestEffortCPU(s):
		case s.isPermittedOn(now, x):
			permitted = append(permitted, x)
		default:
			candidates = append(candidates, x)
		}
	})
	if s.hasSufficientTickets(now, permitted, candidates) {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *executor) int {
		return cmp.Or(
			cmp.Compare(s.readinessRank(now, b), s.readinessRank(now, a)),
			cmp.Compare(s.approvalRank(b), s.approvalRank(a)), cmp.Compare(a.cost(s, need), b.cost(s, need)),
			cmp.Compare(a.entry.ID, b.entry.ID),
		)
	})
	n := min(maxAdviceExecutors, max(minAdviceExecutors, adviceExecutorsPerTask*s.waiting), len(candidates))
	ids := make([]string, n)
	for i := range ids {
		ids[i] = candidates[i].entry.ID
	}
	return ids
}

// hasSufficientTickets reports whether there are valid tickets for at least as many executors as tasks are waiting, and
// each waiting task can start on one of these executors unless it cannot start on any of the candidates either.
func (s *step) hasSufficientTickets(now tick.Time, permitted, candidates []*executor) bool {
	if len(permitted) < s.waiting {
		return false
	}
	return !slices.ContainsFunc(s.tasks, func(t *task) bool {
		takes := func(x *executor) bool { return s.readinessRank(now, x) > 0 && t.isSuitedTo(now, x) && !t.avoids(x) }
		isWaiting := t.run == nil && !t.done
		return isWaiting && !slices.ContainsFunc(permitted, takes) && slices.ContainsFunc(candidates, takes)
	})
}

// readinessRank is 1 for an executor on which neither interference nor suspicion keeps a task of the step from starting
// now, and 0 for others.
func (s *step) readinessRank(now tick.Time, x *executor) int {
	if !x.suspicion.admits(now, s) {
		return 0
	}
	if !s.pb.Fills {
		return 1
	}
	_, isTolerated := toleratesBestEffort(now, x, s)
	if isTolerated || s.job.isOverdue(now) && x.takesOverdue(now, s.job) {
		return 1
	}
	return 0
}

// approvalRank is 1 for an executor that was approved before and needs a new ticket, and 0 for others.
func (s *step) approvalRank(x *executor) int {
	if _, ok := s.advice.tickets[x.entry.ID]; ok {
		return 1
	}
	return 0
}

// isPermittedOn reports whether the step has a valid ticket for the executor. Queues without a policy service need
// none.
func (s *step) isPermittedOn(now tick.Time, x *executor) bool {
	if s.job.queue.Advice == nil {
		return true
	}
	if s.advice == nil {
		return false
	}
	t, ok := s.advice.tickets[x.entry.ID]
	return ok && now.Add(ticketValidityMargin).Before(t.until)
}

// ticketFor returns the ticket for a start, which is empty if none is needed.
func (s *step) ticketFor(x *executor) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.tickets[x.entry.ID].value
}

// dropTicket discards a ticket that an executor refused; the executor remains approved.
func (s *step) dropTicket(x *executor) {
	if s.advice != nil {
		s.advice.tickets[x.entry.ID] = ticket{}
	}
}

// dropTickets discards all tickets for the executor, which are valid for one process.
func (c *Cell) dropTickets(x *executor) {
	if !c.needsAdvice {
		return
	}
	for _, j := range c.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				s.forgetTicket(x)
			}
		}
	}
}

// forgetTicket discards a ticket of a former process of the executor, which remains approved if it was.
func (s *step) forgetTicket(x *executor) {
	if s.advice == nil {
		return
	}
	if _, ok := s.advice.tickets[x.entry.ID]; ok {
		s.dropTicket(x)
	}
}

// HandleAdvice applies the response to a request that was sent at the time sent.
func (c *Cell) HandleAdvice(now, sent tick.Time, q AdviceRequest, a orders.Advice, err error) {
	c.isAdvicePending = false
	if err != nil {
		c.nextAdviceAt = now.Add(adviceRetryPause)
		return
	}
	t := c.task(q.Step)
	if t == nil || t.step.advice == nil {
		return
	}
	for _, id := range q.Executors {
		value, ok := a.Tickets[id]
		if !ok {
			t.step.advice.rejected[id] = true
			continue
		}
		if x, ok := c.execs[id]; ok && x.restartedAt.After(sent) {
			// The ticket may be for the former process.
			t.step.advice.tickets[id] = ticket{}
			continue
		}
		t.step.advice.tickets[id] = ticket{value: value, until: sent.Add(a.Validity)}
	}
	c.emit(Event{Name: "advised", Task: q.Step})
}
