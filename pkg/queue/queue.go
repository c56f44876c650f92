// Package queue describes the queues of jobs and the executors that a configuration and the discovery announce.
//
// # Usage
//
//	q, ok := configuration.Match(host, path)
package queue

import "strings"

// Version numbers a configuration.
type Version uint64

// Name names a queue.
type Name string

// Queue is a queue of jobs: where callers reach it and how its jobs are treated.
type Queue struct {
	Name       Name
	Host       string
	PathPrefix string
	// Service names the executors that run the queue's tasks.
	Service string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how many runs of a task may fail before its job has failed.
	MaxAttempts int
	// StretchFactor times the longest chain of work, and TargetMS more, is the time in which a job should be done.
	StretchFactor float64
	TargetMS      int64
	// Advice, unless nil, means that each start needs a ticket from the queue's policy service.
	Advice *Advice
}

// Advice is how long the policy service of a queue takes.
type Advice struct {
	DecisionMS, PeriodMS, ValidityMS int64
}

// Service is a pool of executors.
type Service struct {
	Name string
	// EnforcesCapacity means that its executors refuse what does not fit.
	EnforcesCapacity bool
	// Spare means that its executors are off.
	Spare bool
}

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes   int
	HeaderTimeoutMS, IdleTimeoutMS int64
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  Version
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
}

// Match returns the queue with the host and the longest prefix that the path begins with.
func (c *Configuration) Match(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best < 0 || len(q.PathPrefix) > len(c.Queues[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// ByName returns the queue of the name.
func (c *Configuration) ByName(n Name) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == n {
			return q, true
		}
	}
	return Queue{}, false
}

// Executor is the entry of an executor in the discovery.
type Executor struct {
	ID      string
	Address string
	Service string
	Domain  string
	Labels  []string
	// Draining means that the executor leaves; RemainingMS is the least time that it still serves.
	Draining    bool
	RemainingMS int64
	// BornMS is the start of its process in milliseconds since 1970; 0 if it does not tell.
	BornMS   int64
	MilliCPU int64
	MemoryMB int64
	GPUs     int64
	ColdMS   int64
}
