package main

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/ibischute/ibischute/internal/web/opersv"
	"github.com/ibischute/ibischute/pkg/fault"
)

const pollInterval = 200 * time.Millisecond

type jobCommand struct {
	Submit jobSubmitCommand `command:"submit" description:"submit a job; again with the same id is safe"`
	Show   jobShowCommand   `command:"show" description:"show a job"`
	List   jobListCommand   `command:"list" description:"list the newest jobs of the instance's domain"`
	Cancel jobCancelCommand `command:"cancel" description:"cancel a job"`
	Wait   jobWaitCommand   `command:"wait" description:"wait until a job has ended"`
}

type jobSubmitCommand struct {
	clientOptions
	Team         string        `long:"team" description:"team on whose quota the job runs" required:"true"`
	Command      string        `long:"command" description:"what the tasks run"`
	Tasks        uint32        `long:"tasks" description:"number of tasks" default:"1"`
	MilliCPU     uint32        `long:"milli-cpu" description:"processors of a task in thousandths" default:"1000"`
	MemoryMB     uint32        `long:"memory-mb" description:"memory of a task in MB" default:"1000"`
	Accelerators uint32        `long:"accelerators" description:"accelerators of a task"`
	RunTime      time.Duration `long:"run-time" description:"declared run time of a task" default:"1s"`
	Deadline     time.Duration `long:"deadline" description:"the job is to finish within this time"`
	Urgent       bool          `long:"urgent" description:"start before all other work"`
	Args         struct {
		ID string `positional-arg-name:"id"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobSubmitCommand) Execute([]string) error {
	spec := opersv.JobSpec{
		ID: c.Args.ID, Team: c.Team, Command: c.Command, Tasks: c.Tasks, MilliCPU: c.MilliCPU, MemoryMB: c.MemoryMB,
		Accelerators: c.Accelerators, RunMS: uint32(c.RunTime.Milliseconds()), Urgent: c.Urgent,
	}
	if c.Deadline > 0 {
		spec.DeadlineUnixMS = time.Now().Add(c.Deadline).UnixMilli()
	}
	var j opersv.Job
	if err := c.call(http.MethodPost, "/v1/jobs", spec, &j); err != nil {
		return err
	}
	return c.print(j, func() { printJobs(j) })
}

type jobArgs struct {
	ID string `positional-arg-name:"id"`
}

type jobShowCommand struct {
	clientOptions
	Args jobArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobShowCommand) Execute([]string) error {
	var j opersv.Job
	if err := c.call(http.MethodGet, "/v1/jobs/"+url.PathEscape(c.Args.ID), nil, &j); err != nil {
		return err
	}
	return c.print(j, func() { printJobs(j) })
}

type jobListCommand struct {
	clientOptions
	Limit int `long:"limit" description:"most jobs to list" default:"50"`
}

// Execute implements flags.Commander.
func (c *jobListCommand) Execute([]string) error {
	var list []opersv.Job
	if err := c.call(http.MethodGet, fmt.Sprintf("/v1/jobs?limit=%d", c.Limit), nil, &list); err != nil {
		return err
	}
	return c.print(list, func() { printJobs(list...) })
}

type jobCancelCommand struct {
	clientOptions
	Args jobArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobCancelCommand) Execute([]string) error {
	var j opersv.Job
	if err := c.call(http.MethodDelete, "/v1/jobs/"+url.PathEscape(c.Args.ID), nil, &j); err != nil {
		return err
	}
	return c.print(j, func() { printJobs(j) })
}

type jobWaitCommand struct {
	clientOptions
	Timeout time.Duration `long:"timeout" description:"longest wait" default:"1m"`
	Args    jobArgs       `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *jobWaitCommand) Execute([]string) error {
	deadline := time.Now().Add(c.Timeout)
	for {
		var j opersv.Job
		if err := c.call(http.MethodGet, "/v1/jobs/"+url.PathEscape(c.Args.ID), nil, &j); err != nil {
			return err
		}
		// A job stays in the phase "accepted" until it has ended.
		if j.Phase != "accepted" {
			return c.print(j, func() { printJobs(j) })
		}
		if time.Now().After(deadline) {
			return fault.New(fault.CodeDeadline, fault.Unknown, "the job has not ended within --timeout")
		}
		time.Sleep(pollInterval)
	}
}

func printJobs(list ...opersv.Job) {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "ID\tTEAM\tPHASE\tHOME\tTASKS\tDONE\tRUNNING\tPENDING\tREASON")
	for _, j := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", j.Spec.ID, j.Spec.Team, j.Phase, j.Home, j.Spec.Tasks,
			j.Done, j.Running, j.Pending, j.Reason)
	}
}
