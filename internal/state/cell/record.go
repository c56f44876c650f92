package cell

import (
	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Batch is a set of records to store, with what holds once they are stored.
type Batch struct {
	Records []logs.Record
	states  map[*job]jobpb.State
	rosters []*executor
	cursors map[*executor]uint64
	retired []string
}

// HasChanges reports whether there is something to store.
func (c *Cell) HasChanges() bool {
	return len(c.dirty) > 0 || len(c.rosters) > 0 || len(c.retired) > 0 || c.isModelDue || c.hasEnds()
}

// hasEnds reports whether ends were listed that changed no record and only wait to be acknowledged.
func (c *Cell) hasEnds() bool {
	for _, x := range c.execs {
		if x.seen > x.cut {
			return true
		}
	}
	return false
}

// Cut takes all that has changed since the last batch. The former batch must have been committed.
func (c *Cell) Cut() (*Batch, error) {
	b := &Batch{states: map[*job]jobpb.State{}, cursors: map[*executor]uint64{}}
	for id, j := range c.dirty {
		p := j.progress()
		if err := b.add(book.ProgressKey(id), p); err != nil {
			return nil, err
		}
		b.states[j] = p.State
	}
	for id, x := range c.rosters {
		if err := b.add(book.RosterKey(id), &jobpb.Roster{Executor: id, Address: x.entry.Address}); err != nil {
			return nil, err
		}
		b.rosters = append(b.rosters, x)
	}
	if c.isModelDue {
		if err := b.add(book.ModelKey(), c.model()); err != nil {
			return nil, err
		}
		c.isModelDue = false
	}
	for id := range c.retired {
		b.Records = append(b.Records, logs.Record{Key: book.RosterKey(id)})
		b.retired = append(b.retired, id)
	}
	for _, x := range c.execs {
		if x.seen > x.cut {
			x.cut = x.seen
			b.cursors[x] = x.cut
		}
	}
	clear(c.dirty)
	clear(c.rosters)
	return b, nil
}

func (b *Batch) add(key string, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode record "+key)
	}
	b.Records = append(b.Records, logs.Record{Key: key, Value: v})
	return nil
}

// Commit notes that the batch is stored.
func (c *Cell) Commit(now tick.Time, b *Batch) {
	for j, s := range b.states {
		j.mark = marked
		if book.IsFinal(s) {
			j.recorded = s
			j.endedAt = now
		}
	}
	for _, x := range b.rosters {
		x.isRostered = true
	}
	for _, id := range b.retired {
		delete(c.retired, id)
	}
	for x, n := range b.cursors {
		// After a rebirth the numbers begin anew.
		if n <= x.cut {
			x.acked = max(x.acked, n)
		}
	}
}

// progress returns what must outlive this lead about the job.
func (j *job) progress() *jobpb.Progress {
	p := &jobpb.Progress{Job: j.id, State: j.state}
	if book.IsFinal(j.state) {
		return p
	}
	if j.begun {
		p.State = jobpb.State_STATE_RUNNING
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.done || len(t.failedRuns) > 0 || t.checkpoint != "" {
					p.Tasks = append(p.Tasks, t.progress())
				}
			}
		}
	}
	return p
}

func (t *task) progress() *jobpb.TaskProgress {
	tp := &jobpb.TaskProgress{
		Occurrence: t.id.Occurrence, Step: t.id.Step, Index: t.id.Index, Done: t.done, FailedRuns: t.failedRuns,
	}
	if !t.done {
		tp.Checkpoint = t.checkpoint
	}
	return tp
}
