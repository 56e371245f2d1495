package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Process is a started program. It may have ended.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// startProcess starts a program of a VM and appends its standard error to the log file.
func (f *Fleet) startProcess(program string, vm *VM) (*Process, error) {
	log, err := os.OpenFile(f.LogFile(program, vm), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.opts.BinDir, program), vm.settings)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM, which requests a graceful shutdown.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Suspend sends SIGSTOP and waits until the kernel has stopped the process.
func (p *Process) Suspend() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	for !p.stopped() {
		time.Sleep(time.Millisecond)
	}
}

// stopped reports whether the process is suspended or has ended.
func (p *Process) stopped() bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return true
	}
	_, state, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(state, "T")
}

// Resume sends SIGCONT to a suspended process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error of the process's exit. It is valid once Done is closed.
func (p *Process) Err() error { return p.err }
