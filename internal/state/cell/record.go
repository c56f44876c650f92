package cell

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/done"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Batch is a set of records to store, with the changes of state to apply once they are stored.
type Batch struct {
	Records []logs.Record
	states  map[*job]jobpb.State
	// placed has the runs whose executors the records name and whose start orders are not made yet.
	placed  []*run
	hasTerm bool
	rosters []*executor
	cursors map[*executor]uint64
	retired []string
}

// HasChanges reports whether there is something to store.
func (c *Cell) HasChanges() bool {
	return len(c.dirty) > 0 || len(c.pendingRosters) > 0 || len(c.retired) > 0 || c.isModelRecordDue ||
		c.placements.isTermDue() || c.hasUnbatchedEnds()
}

// hasUnbatchedEnds reports whether an executor has listed ends that are in no batch yet. Such ends may have changed no
// record and only need to be acknowledged.
func (c *Cell) hasUnbatchedEnds() bool {
	for x := range c.unbatched {
		if x.appliedCursor > x.batchedCursor && c.execs[x.entry.ID] == x {
			return true
		}
		delete(c.unbatched, x)
	}
	return false
}

// NextBatch returns a batch of everything that has changed since the last one, which must have been committed.
func (c *Cell) NextBatch() (*Batch, error) {
	b := &Batch{states: map[*job]jobpb.State{}, cursors: map[*executor]uint64{}}
	if c.placements.isTermDue() {
		if err := b.addRecord(book.TermKey(), c.placements.chain.Record()); err != nil {
			return nil, err
		}
		b.hasTerm, c.placements.isTermBatched = true, true
	}
	for id, j := range c.dirty {
		p := c.progress(j)
		b.addPlaced(j)
		if err := b.addRecord(book.ProgressKey(id), p); err != nil {
			return nil, err
		}
		b.states[j] = p.State
	}
	for id, x := range c.pendingRosters {
		if err := b.addRecord(book.RosterKey(id), &jobpb.Roster{Executor: id, Address: x.entry.Address}); err != nil {
			return nil, err
		}
		b.rosters = append(b.rosters, x)
	}
	if c.isModelRecordDue {
		if err := b.addRecord(book.ModelKey(), c.modelRecord()); err != nil {
			return nil, err
		}
		c.isModelRecordDue = false
	}
	for id := range c.retired {
		b.Records = append(b.Records, logs.Record{Key: book.RosterKey(id)})
		b.retired = append(b.retired, id)
	}
	for _, x := range c.execs {
		if x.appliedCursor > x.batchedCursor {
			x.batchedCursor = x.appliedCursor
			b.cursors[x] = x.batchedCursor
		}
	}
	clear(c.dirty)
	clear(c.pendingRosters)
	return b, nil
}

func (b *Batch) addRecord(key string, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode record "+key)
	}
	b.Records = append(b.Records, logs.Record{Key: key, Value: v})
	return nil
}

// Fit makes the records of the batch fit the log's limit for a record. It reduces the record of a job that is too
// large. A record that is still too large is removed from the batch, so that it does not count as stored: no end is
// acknowledged until the job's record fits again, an executor without a roster record gets no run, and the model is
// recorded later. Fit returns the keys of the reduced records and those of the removed ones.
func (c *Cell) Fit(b *Batch, maxBytes int) (reduced, removed []string) {
	kept := b.Records[:0]
	for _, r := range b.Records {
		if recordBytes(r) <= maxBytes {
			kept = append(kept, r)
			continue
		}
		r, applied := reduceRecord(r, maxBytes)
		if applied.omitsPlacement {
			b.forgetPlacement(r.Key)
		}
		if recordBytes(r) > maxBytes {
			c.removeRecord(b, r.Key)
			removed = append(removed, r.Key)
			continue
		}
		reduced = append(reduced, r.Key)
		kept = append(kept, r)
	}
	b.Records = kept
	return reduced, removed
}

// recordBytes returns the size of a record in the log, which has one byte for the length of the key.
func recordBytes(r logs.Record) int { return 1 + len(r.Key) + len(r.Value) }

// reduction is a way to make the progress record of a job smaller. Without checkpoints, the tasks start from the
// beginning after a change of leader. Without the placement, a new leader waits for all executors. With ranges, done
// tasks that follow each other take less space.
type reduction struct {
	hasRanges, omitsCheckpoints, omitsPlacement bool
}

// reductions are in the order of preference. Those with ranges come last, because leaders of versions that do not know
// ranges start the tasks in them again, and because done tasks that are scattered take more space as ranges.
var reductions = []reduction{
	{omitsCheckpoints: true},
	{omitsCheckpoints: true, omitsPlacement: true},
	{hasRanges: true},
	{hasRanges: true, omitsCheckpoints: true},
	{hasRanges: true, omitsCheckpoints: true, omitsPlacement: true},
}

// reduceRecord returns the progress record of a job after the first reduction with which it fits, or the last one, and
// that reduction. Any other record is returned unchanged.
func reduceRecord(r logs.Record, maxBytes int) (logs.Record, reduction) {
	if !strings.HasPrefix(r.Key, book.ProgressKey("")) {
		return r, reduction{}
	}
	reduced, applied := r, reduction{}
	for _, applied = range reductions {
		p := &jobpb.Progress{}
		if proto.Unmarshal(r.Value, p) != nil {
			return r, reduction{}
		}
		applied.apply(p)
		v, err := proto.Marshal(p)
		if err != nil {
			return r, reduction{}
		}
		reduced.Value = v
		if recordBytes(reduced) <= maxBytes {
			break
		}
	}
	return reduced, applied
}

// apply reduces the progress, and leaves out tasks of which nothing is left to state.
func (r reduction) apply(p *jobpb.Progress) {
	if r.hasRanges {
		done.Compact(p)
	}
	if r.omitsPlacement {
		p.PlacementEpoch = 0
	}
	for _, t := range p.Tasks {
		if r.omitsCheckpoints {
			t.Checkpoint = ""
		}
		if r.omitsPlacement {
			t.Executor = 0
		}
	}
	p.Tasks = slices.DeleteFunc(p.Tasks, func(t *jobpb.TaskProgress) bool {
		return !t.Done && t.Checkpoint == "" && len(t.FailedRuns) == 0 && t.Executor == 0 && len(t.Losses) == 0
	})
}

// removeRecord removes what the record stands for from the changes that Commit applies.
func (c *Cell) removeRecord(b *Batch, key string) {
	b.rosters = slices.DeleteFunc(b.rosters, func(x *executor) bool { return book.RosterKey(x.entry.ID) == key })
	for j := range b.states {
		if book.ProgressKey(j.id) != key {
			continue
		}
		delete(b.states, j)
		b.placed = slices.DeleteFunc(b.placed, func(r *run) bool { return r.task.step.job == j })
		// The next batches contain the job and the ends again.
		c.dirty[j.id] = j
		for x := range b.cursors {
			x.batchedCursor = x.storedCursor
			c.unbatched[x] = true
		}
		clear(b.cursors)
	}
}

// Commit records that the batch is stored.
func (c *Cell) Commit(now tick.Time, b *Batch) {
	c.commitPlacements(now, b)
	for j, s := range b.states {
		j.startRecord = startRecorded
		if book.IsFinal(s) {
			j.recordedState = s
			j.endedAt = now
		}
	}
	for _, x := range b.rosters {
		// The next batch removes the record of an executor that was retired meanwhile.
		x.isRostered = !c.retired[x.entry.ID]
	}
	for _, id := range b.retired {
		delete(c.retired, id)
	}
	for x, n := range b.cursors {
		// The cursors of ended runs start over when an executor restarts.
		if n <= x.batchedCursor {
			x.storedCursor = max(x.storedCursor, n)
		}
	}
}

// progress returns what later leaders need to know of the job. It notes the executors that the record names.
func (c *Cell) progress(j *job) *jobpb.Progress {
	p := &jobpb.Progress{Job: j.id, State: j.state}
	if book.IsFinal(j.state) {
		return p
	}
	if j.hasStarted {
		p.State = jobpb.State_STATE_RUNNING
	}
	isPlacementKnown := !j.isInherited
	j.forEachTask(func(t *task) {
		t.batchedOn = 0
		if isPlacementKnown {
			t.batchedOn = t.possibleExecutor()
		}
	})
	if isPlacementKnown {
		p.PlacementEpoch = c.epoch
		j.recordInAdvance()
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.done || len(t.failedRuns) > 0 || t.checkpoint != "" || t.batchedOn != 0 || !t.crashes.IsEmpty() {
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
		Executor: t.batchedOn, Losses: t.lossRecords(),
	}
	if !t.done {
		tp.Checkpoint = t.checkpoint
	}
	return tp
}
