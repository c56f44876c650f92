// Package proc runs programs as child processes that are killed when this process ends.
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

// Process is a child process.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts the program with its output written to the file. The caller may close the file afterwards.
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

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }
