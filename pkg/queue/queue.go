// Package queue defines the job queues of the operator's configuration and the executors of service discovery.
//
// # Usage
//
//	q, ok := configuration.Match(host, path)
package queue

import (
	"slices"
	"strings"
	"time"
)

// Version is the version number of a configuration.
type Version uint64

// Name names a queue.
type Name string

// Queue is a job queue: the host and path at which callers reach it, and the scheduling settings of its jobs.
type Queue struct {
	Name       Name
	Host       string
	PathPrefix string
	// Service names the executors that run the queue's tasks.
	Service string
	// Priority orders the queues; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// StretchFactor and TargetMS define the latency target of a job: StretchFactor times its longest chain of
	// dependent steps, plus TargetMS.
	StretchFactor float64
	TargetMS      int64
	// Advice is set if each start needs a ticket from the queue's policy service.
	Advice *AdviceTiming
}

// AdviceTiming states how long the policy service of a queue takes to decide, which is Decision plus Period for each
// executor in the request, and how long its tickets are valid.
type AdviceTiming struct {
	Decision, Period, Validity time.Duration
}

// Service is a pool of executors.
type Service struct {
	Name string
	// EnforcesCapacity reports whether the executors refuse tasks that exceed their free capacity.
	EnforcesCapacity bool
	// Spare reports whether the executors are switched off.
	Spare bool
}

// Limits holds the limits on callers' requests and connections.
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

// Match returns the queue of the host with the longest path prefix that matches.
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

// ByName returns the queue with the name.
func (c *Configuration) ByName(n Name) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == n {
			return q, true
		}
	}
	return Queue{}, false
}

// NamesService reports whether the configuration defines the service or has a queue that uses it.
func (c *Configuration) NamesService(name string) bool {
	if _, ok := c.Services[name]; ok {
		return true
	}
	return slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Service == name })
}

// Executor is the entry of an executor in service discovery.
type Executor struct {
	ID      string
	Address string
	Service string
	Domain  string
	Labels  []string
	// Draining reports whether the executor is shutting down; it keeps serving for at least RemainingMS.
	Draining    bool
	RemainingMS int64
	// StartedMS is the start time of its process in milliseconds since 1970; 0 if the entry does not state it.
	StartedMS int64
	// Sequence numbers the writes of the entry by one process, rising; 0 if the entry does not state it.
	Sequence        int64
	MilliCPU        int64
	MemoryMB        int64
	GPUs            int64
	ColdRemainingMS int64
}
