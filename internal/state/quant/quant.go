// Package quant models the ratio of actual to estimated task durations as quantiles, by queue and by job.
//
// A queue's ratios are kept in histograms that forget old ones. A job's ratios correct an estimate that is wrong by a
// factor for the whole job: the more of its tasks have ended, the more the ratio of the job depends on its own tasks
// and the less on its queue.
//
// # Usage
//
//	m := quant.New()
//	m.Observe("reports", "job-1", 1.7) // for each task that is done
//	typical := m.Ratio("reports", "job-1", 0.5)
//	longest := m.Ratio("reports", "job-1", 0.9)
//	m.Forget("job-1") // when the job has ended
package quant

import (
	"math"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

const (
	// maxQueues and maxJobs bound the memory. Beyond them the least recently used queue or job is forgotten. A queue
	// takes 60 kB at most, a job less than 0.5 kB.
	maxQueues = 128
	maxJobs   = 20_000
	// neutralSamples is the weight, in samples, of the assumption that estimates are right.
	neutralSamples = 5
	// queueSamples is the weight of a job's queue in samples of the job. It is low because tasks of one job differ less
	// from each other than jobs of one queue.
	queueSamples = 0.5
	// minSpreadSamples is the number of ratios to the medians of their jobs from which their quantiles describe the
	// spread within a job. Before, that of the queue is used, which is larger.
	minSpreadSamples = 30
	// minMedianSamples is the number of samples from which the median of a job is known well enough to relate others to
	// it.
	minMedianSamples = 3
	medianQuantile   = 0.5
)

// Model holds the ratios of all queues and of the jobs that have not ended. It is not safe for concurrent use.
type Model struct {
	queues *simplelru.LRU[string, *queueRatios]
	jobs   *simplelru.LRU[string, *jobRatios]
}

// queueRatios are the ratios of one queue's tasks, and their ratios to the medians of their jobs.
type queueRatios struct {
	all, withinJobs *sketch
}

// New returns a Model without samples, whose ratios are 1.
func New() *Model {
	m := &Model{}
	// The constructor fails only for a size that is not positive.
	m.queues, _ = simplelru.NewLRU[string, *queueRatios](maxQueues, nil)
	m.jobs, _ = simplelru.NewLRU[string, *jobRatios](maxJobs, nil)
	return m
}

// Observe adds the ratio of a task that is done. A ratio that is not positive and finite is ignored.
func (m *Model) Observe(queue, job string, ratio float64) {
	if !isRatio(ratio) {
		return
	}
	q := m.queue(queue)
	q.all.add(ratio, 1)
	j, ok := m.jobs.Get(job)
	if !ok {
		j = &jobRatios{}
		m.jobs.Add(job, j)
	}
	if j.total >= minMedianSamples {
		q.withinJobs.add(ratio/j.quantile(medianQuantile), 1)
	}
	j.add(ratio)
}

func isRatio(r float64) bool { return r > 0 && !math.IsInf(r, 0) && !math.IsNaN(r) }

func (m *Model) queue(name string) *queueRatios {
	q, ok := m.queues.Get(name)
	if !ok {
		q = &queueRatios{all: &sketch{}, withinJobs: &sketch{}}
		m.queues.Add(name, q)
	}
	return q
}

// Ratio returns the ratio that a task of the job does not exceed with the probability of the quantile.
func (m *Model) Ratio(queue, job string, quantile float64) float64 {
	q, isKnown := m.queues.Peek(queue)
	ratio := 1.0
	if isKnown {
		ratio = math.Pow(q.all.quantile(quantile), weight(q.all.total, neutralSamples))
	}
	j, ok := m.jobs.Peek(job)
	if !ok {
		return ratio
	}
	own := j.quantile(medianQuantile)
	if isKnown {
		own *= q.spread(quantile)
	}
	// The blend is geometric, as estimates are wrong by factors.
	w := weight(j.total, queueSamples)
	return math.Pow(ratio, 1-w) * math.Pow(own, w)
}

// Queues returns the names of the queues with samples, in alphabetical order.
func (m *Model) Queues() []string { return slices.Sorted(slices.Values(m.queues.Keys())) }

// Samples returns the number of samples of the queue and of the job.
func (m *Model) Samples(queue, job string) (ofQueue, ofJob int) {
	if q, ok := m.queues.Peek(queue); ok {
		ofQueue = q.all.total
	}
	if j, ok := m.jobs.Peek(job); ok {
		ofJob = j.total
	}
	return ofQueue, ofJob
}

// weight is the weight of n samples beside an assumption with the weight of others.
func weight(n int, others float64) float64 { return float64(n) / (float64(n) + others) }

// spread returns the ratio of the quantile to the median among the tasks of one job.
func (q *queueRatios) spread(quantile float64) float64 {
	s := q.withinJobs
	if s.total < minSpreadSamples {
		s = q.all
	}
	return s.quantile(quantile) / s.quantile(medianQuantile)
}

// Forget drops the samples of a job that has ended.
func (m *Model) Forget(job string) { m.jobs.Remove(job) }

// Mean returns the approximate mean ratio of a queue's tasks, which is close to 1 while there are few of them.
func (m *Model) Mean(queue string) float64 {
	q, isKnown := m.queues.Peek(queue)
	if !isKnown {
		return 1
	}
	return math.Pow(q.all.approximateMean(), weight(q.all.total, neutralSamples))
}

// Save returns the ratios of all queues for storage, in the order of their names. The ratio of a record is the mean,
// which versions without quantiles read.
func (m *Model) Save() []*jobpb.QueueRatio {
	var out []*jobpb.QueueRatio
	for _, name := range m.Queues() {
		q, _ := m.queues.Peek(name)
		out = append(out, &jobpb.QueueRatio{
			Queue: name, Ratio: q.all.mean(), Quantiles: slices.Clone(q.all.steps()), Samples: uint64(q.all.total),
		})
	}
	return out
}

// Load restores the ratios of queues that Save or a version without quantiles has stored. Jobs start without samples.
// Records without a usable ratio are ignored.
func (m *Model) Load(records []*jobpb.QueueRatio) {
	for _, r := range records {
		hasQuantiles := r.Samples > 0 && len(r.Quantiles) > 0 && !slices.ContainsFunc(r.Quantiles, isNoRatio)
		switch {
		case hasQuantiles:
			m.queue(r.Queue).all.load(r.Quantiles, r.Samples)
		case isRatio(r.Ratio):
			m.queue(r.Queue).all.load([]float64{r.Ratio}, meanSamples)
		}
	}
}

func isNoRatio(r float64) bool { return !isRatio(r) }

// meanSamples is the number of samples for which the mean of a version without quantiles counts. That version gave the
// newest of 20 runs a weight of 1/20.
const meanSamples = 20
