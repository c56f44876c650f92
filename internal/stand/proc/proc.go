// Package proc runs a program as a process that ends with this one.
//
// # Usage
//
//	p, err := proc.Start(log, "bin/ibischute", "serve")
//	err = p.Signal(syscall.SIGTERM)
//	<-p.Ended()
package proc

import (
	"os"
	"os/exec"
	"syscall"
)

// Process is a process that was started.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts the program. Its output goes to the file, which the caller may close.
func Start(output *os.File, path string, args ...string) (*Process, error) {
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }
