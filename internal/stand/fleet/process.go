package fleet

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ibischute/ibischute/internal/stand/proc"
	"github.com/ibischute/ibischute/pkg/fault"
)

func (f *Fleet) spawn(name, path string, args []string) error {
	log, err := os.OpenFile(filepath.Join(f.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer log.Close()
	p, err := proc.Start(log, path, args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

func (f *Fleet) process(name string) (*proc.Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		return nil, fault.New(fault.CodeNotFound, fault.NotRun, "no process named "+name)
	}
	return p, nil
}

// Signal sends a signal to a process.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	return p.Signal(s)
}

// Kill kills a process with SIGKILL and waits until it has ended.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	p, _ := f.process(name)
	<-p.Ended()
	return nil
}

// Stop sends SIGTERM to a process and waits until it has ended.
func (f *Fleet) Stop(name string) error {
	if err := f.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	return f.AwaitEnd(name)
}

// AwaitEnd waits until a process has ended, and fails after stopTimeout.
func (f *Fleet) AwaitEnd(name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	select {
	case <-p.Ended():
		return nil
	case <-time.After(stopTimeout):
		return fault.New(fault.CodeDeadline, fault.Unknown, name+" did not stop before the timeout")
	}
}

// Freeze suspends a process with SIGSTOP; Resume resumes it.
func (f *Fleet) Freeze(name string) error { return f.Signal(name, syscall.SIGSTOP) }

// Resume resumes a frozen process.
func (f *Fleet) Resume(name string) error { return f.Signal(name, syscall.SIGCONT) }
