package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxAsked bounds the executors of one question to the policy service, minAsked is the least number asked for.
	maxAsked = 100
	minAsked = 10
	// askedPerTask is how many executors are asked for each waiting task, as only some will be good.
	askedPerTask = 2
	// ticketMargin is kept of a ticket's validity for the order's way.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 200 * time.Millisecond
)

// ticket lets the tasks of a step start on one executor.
type ticket struct {
	value string
	until tick.Time
}

// advised is what the policy service has said of a step. Which executors are good does not change, but tickets expire.
type advised struct {
	tickets map[string]ticket
	bad     map[string]bool
}

// Question is a question to the policy service.
type Question struct {
	Step      orders.Task
	Executors []string
	// Timeout is how long the answer may take.
	Timeout time.Duration
}

// Question returns the next question, for the most urgent step that lacks tickets. One question is under way at a time,
// since the service answers each instance one by one.
func (c *Cell) Question(now tick.Time) (Question, bool) {
	if !c.needsAdvice || c.isAsking || now.Before(c.askAt) || c.isFenced {
		return Question{}, false
	}
	for _, s := range c.waitingSteps(now) {
		if s.job.queue.Advice == nil {
			continue
		}
		ids := c.toAsk(now, s)
		if len(ids) == 0 {
			continue
		}
		c.isAsking = true
		a := s.job.queue.Advice
		takes := time.Duration(a.DecisionMS+int64(len(ids))*a.PeriodMS) * time.Millisecond
		return Question{Step: s.tasks[0].id, Executors: ids, Timeout: takes + time.Second}, true
	}
	return Question{}, false
}

// toAsk returns the executors to ask about, or none if there are tickets for as many as tasks wait.
func (c *Cell) toAsk(now tick.Time, s *step) []string {
	if s.advised == nil {
		s.advised = &advised{tickets: map[string]ticket{}, bad: map[string]bool{}}
	}
	need := roomOf(s.pb)
	valid := 0
	var candidates []*executor
	for _, x := range c.execs {
		if !x.isUsable(now) || x.entry.Service != s.job.queue.Service || s.advised.bad[x.entry.ID] {
			continue
		}
		if !x.free().holds(need) {
			continue
		}
		if s.holdsTicket(now, x) {
			valid++
			continue
		}
		candidates = append(candidates, x)
	}
	if valid >= s.idle {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *executor) int {
		return cmp.Or(
			cmp.Compare(s.known(b), s.known(a)), cmp.Compare(a.cost(s, need), b.cost(s, need)),
			cmp.Compare(a.entry.ID, b.entry.ID),
		)
	})
	n := min(maxAsked, max(minAsked, askedPerTask*s.idle), len(candidates))
	ids := make([]string, n)
	for i := range ids {
		ids[i] = candidates[i].entry.ID
	}
	return ids
}

// known is 1 for an executor that is good and whose ticket has expired.
func (s *step) known(x *executor) int {
	if _, ok := s.advised.tickets[x.entry.ID]; ok {
		return 1
	}
	return 0
}

// holdsTicket reports whether the step may start on the executor. Queues without a policy need no ticket.
func (s *step) holdsTicket(now tick.Time, x *executor) bool {
	if s.job.queue.Advice == nil {
		return true
	}
	if s.advised == nil {
		return false
	}
	t, ok := s.advised.tickets[x.entry.ID]
	return ok && now.Add(ticketMargin).Before(t.until)
}

// ticketFor returns the ticket of a start, which is empty where none is needed.
func (s *step) ticketFor(x *executor) string {
	if s.advised == nil {
		return ""
	}
	return s.advised.tickets[x.entry.ID].value
}

// dropTicket forgets a ticket that an executor refused; the executor stays a good one.
func (s *step) dropTicket(x *executor) {
	if s.advised != nil {
		s.advised.tickets[x.entry.ID] = ticket{}
	}
}

// Advised applies the answer to a question that was sent at sent.
func (c *Cell) Advised(now, sent tick.Time, q Question, a orders.Advice, err error) {
	c.isAsking = false
	if err != nil {
		c.askAt = now.Add(adviceRetry)
		return
	}
	t := c.task(q.Step)
	if t == nil || t.step.advised == nil {
		return
	}
	for _, id := range q.Executors {
		value, ok := a.Tickets[id]
		if !ok {
			t.step.advised.bad[id] = true
			continue
		}
		t.step.advised.tickets[id] = ticket{value: value, until: sent.Add(a.Validity)}
	}
	c.note(Event{Name: "advised", Task: q.Step})
}
