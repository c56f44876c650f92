// Package book folds the log records of one cell into the state of its jobs.
//
// The fold gives the same result on every instance and does not depend on how the records of the intake topic and the
// progress topic interleave.
//
// # Usage
//
//	b := book.New()
//	b.Intake(record)
//	b.Progress(record)
//	e, ok := b.Job("5c0e7a21d94b36f8")
package book

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/valid"
	"github.com/ibischute/ibischute/pkg/fault"
)

// The key prefixes: jobs and cancellations in the intake topic, job progress and executors in the progress topic. The
// model has a fixed key in the progress topic.
const (
	prefixJob      = "j/"
	prefixCancel   = "c/"
	prefixProgress = "p/"
	prefixRoster   = "x/"
	keyModel       = "model"
	keyTerm        = "term"
)

// JobKey returns the key of a job's intake record.
func JobKey(id string) string { return prefixJob + id }

// CancelKey returns the key of a job's cancellation record.
func CancelKey(id string) string { return prefixCancel + id }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(id string) string { return prefixProgress + id }

// RosterKey returns the key of the roster record of an executor that a leader may have sent orders to.
func RosterKey(executor string) string { return prefixRoster + executor }

// ModelKey returns the key of the interference and duration model that the leaders have learned.
func ModelKey() string { return keyModel }

// TermKey returns the key of the record that states since when leaders have kept placement records.
func TermKey() string { return keyTerm }

// Entry holds the recorded state of one job.
type Entry struct {
	Job       *jobpb.Job
	Cancelled bool
	Progress  *jobpb.Progress
}

// State returns the state of the job according to the records. A cancellation applies unless the job has already ended.
func (e *Entry) State() jobpb.State {
	switch {
	case e.Progress != nil && IsFinal(e.Progress.State):
		return e.Progress.State
	case e.Cancelled:
		return jobpb.State_STATE_CANCELLED
	case e.Progress != nil:
		return e.Progress.State
	}
	return jobpb.State_STATE_QUEUED
}

// IsFinal reports whether the state is terminal.
func IsFinal(s jobpb.State) bool {
	return s == jobpb.State_STATE_COMPLETED || s == jobpb.State_STATE_FAILED || s == jobpb.State_STATE_CANCELLED
}

// Book holds the folded state of the jobs, of the roster, which lists the executors that a leader may have sent orders
// to, of the model, and of the last leader's term.
type Book struct {
	entries map[string]*Entry
	roster  map[string]*jobpb.Roster
	model   *jobpb.Model
	term    *jobpb.Term
}

// New returns an empty Book.
func New() *Book { return &Book{entries: map[string]*Entry{}, roster: map[string]*jobpb.Roster{}} }

// Intake folds a record of the intake topic and returns the ID of its job. A record without a value removes the job. If
// a job has several intake records, the first one applies.
func (b *Book) Intake(r logs.Record) (string, error) {
	if id, ok := strings.CutPrefix(r.Key, prefixCancel); ok {
		if len(r.Value) == 0 {
			b.removeJob(id)
			return id, nil
		}
		b.entry(id).Cancelled = true
		return id, nil
	}
	id, ok := strings.CutPrefix(r.Key, prefixJob)
	if !ok {
		return "", fault.New(fault.CodeBadRequest, fault.NotRun, "intake record with unknown key "+r.Key)
	}
	if len(r.Value) == 0 {
		b.removeJob(id)
		return id, nil
	}
	if _, isKnown := b.Job(id); isKnown {
		return id, nil
	}
	j, err := decodeJob(id, r.Value)
	if err != nil {
		return id, err
	}
	b.entry(id).Job = j
	return id, nil
}

// decodeJob decodes the value of the intake record of a job. It rejects a job that would take down the leader.
func decodeJob(id string, value []byte) (*jobpb.Job, error) {
	in := &jobpb.Intake{}
	if err := proto.Unmarshal(value, in); err != nil || in.Job == nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "decode intake record of job "+id)
	}
	if in.Job.Id != id {
		return nil, fault.New(fault.CodeBadRequest, fault.NotRun, "intake record of job "+id+" has job "+in.Job.Id)
	}
	if err := valid.Recorded.Check(in.Job); err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "intake record of job "+id)
	}
	return in.Job, nil
}

// CheckSubmission returns an error unless the record is one that an instance appends for a caller: a job, or the cancel
// of a job. A record without a value would remove the job.
func CheckSubmission(r logs.Record) error {
	if id, ok := strings.CutPrefix(r.Key, prefixJob); ok {
		_, err := decodeJob(id, r.Value)
		return err
	}
	in := &jobpb.Intake{}
	err := proto.Unmarshal(r.Value, in)
	if !strings.HasPrefix(r.Key, prefixCancel) || err != nil || !in.Cancel {
		return fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "intake record with key "+r.Key)
	}
	return nil
}

// Progress folds a record of the progress topic. A job or roster record without a value removes the job or executor.
func (b *Book) Progress(r logs.Record) error {
	if id, ok := strings.CutPrefix(r.Key, prefixRoster); ok {
		return b.foldRoster(id, r.Value)
	}
	switch r.Key {
	case keyModel:
		return b.foldModel(r.Value)
	case keyTerm:
		return b.foldTerm(r.Value)
	}
	id, ok := strings.CutPrefix(r.Key, prefixProgress)
	if !ok {
		return fault.New(fault.CodeBadRequest, fault.NotRun, "progress record with unknown key "+r.Key)
	}
	if len(r.Value) == 0 {
		b.removeJob(id)
		return nil
	}
	p := &jobpb.Progress{}
	if err := proto.Unmarshal(r.Value, p); err != nil {
		b.forgetPlacement(id)
		return fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "decode progress record of job "+id)
	}
	b.entry(id).Progress = p
	return nil
}

// forgetPlacement handles an unreadable progress record, whose writer may have started tasks of the job on any
// executor. The rest of the previous record still holds.
func (b *Book) forgetPlacement(id string) {
	p := &jobpb.Progress{Job: id, State: jobpb.State_STATE_QUEUED}
	if previous := b.entry(id).Progress; previous != nil {
		p.State, p.Tasks, p.Done = previous.State, previous.Tasks, previous.Done
	}
	b.entry(id).Progress = p
}

func (b *Book) foldTerm(value []byte) error {
	// An unreadable record replaces the previous one, because it is newer.
	b.term = nil
	t := &jobpb.Term{}
	if err := proto.Unmarshal(value, t); err != nil {
		return fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "decode term record")
	}
	b.term = t
	return nil
}

// Term returns the last term record, or nil if there is none that can be read.
func (b *Book) Term() *jobpb.Term { return b.term }

func (b *Book) foldRoster(id string, value []byte) error {
	if len(value) == 0 {
		delete(b.roster, id)
		return nil
	}
	x := &jobpb.Roster{}
	if err := proto.Unmarshal(value, x); err != nil {
		return fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "decode roster record of executor "+id)
	}
	b.roster[id] = x
	return nil
}

func (b *Book) foldModel(value []byte) error {
	m := &jobpb.Model{}
	if err := proto.Unmarshal(value, m); err != nil {
		return fault.Wrap(err, fault.CodeBadRequest, fault.NotRun, "decode model record")
	}
	b.model = m
	return nil
}

// Model returns the recorded model, or nil if there is none.
func (b *Book) Model() *jobpb.Model { return b.model }

func (b *Book) entry(id string) *Entry {
	e, ok := b.entries[id]
	if !ok {
		e = &Entry{}
		b.entries[id] = e
	}
	return e
}

func (b *Book) removeJob(id string) { delete(b.entries, id) }

// Job returns the recorded state of a job. It reports false unless the job was accepted.
func (b *Book) Job(id string) (*Entry, bool) {
	e, ok := b.entries[id]
	if !ok || e.Job == nil {
		return nil, false
	}
	return e, true
}

// HasSubmission reports whether an intake record with the key was applied: a job, or the cancellation of a job, which
// need not be known.
func (b *Book) HasSubmission(key string) bool {
	if id, ok := strings.CutPrefix(key, prefixCancel); ok {
		e, isKnown := b.entries[id]
		return isKnown && e.Cancelled
	}
	id, ok := strings.CutPrefix(key, prefixJob)
	if !ok {
		return false
	}
	_, isKnown := b.Job(id)
	return isKnown
}

// Jobs calls f for each accepted job, ordered by ID.
func (b *Book) Jobs(f func(e *Entry)) {
	for _, id := range slices.Sorted(maps.Keys(b.entries)) {
		if e := b.entries[id]; e.Job != nil {
			f(e)
		}
	}
}

// ClearRoster forgets the executors of the roster, before a snapshot of the progress topic is folded.
func (b *Book) ClearRoster() { clear(b.roster) }

// Roster calls f for each executor that a leader may have sent orders to.
func (b *Book) Roster(f func(x *jobpb.Roster)) {
	for _, x := range b.roster {
		f(x)
	}
}

// CountQueued returns the number of accepted jobs of a queue that are queued according to the records. It includes jobs
// that have started but whose start is not recorded yet.
func (b *Book) CountQueued(queue string) int {
	n := 0
	for _, e := range b.entries {
		if e.Job != nil && e.Job.Queue == queue && e.State() == jobpb.State_STATE_QUEUED {
			n++
		}
	}
	return n
}
