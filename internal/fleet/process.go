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

// Process is one running program.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

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

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks for a planned stop.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Freeze stops the process in its tracks, and returns once it stands still.
func (p *Process) Freeze() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	for !p.stopped() {
		time.Sleep(time.Millisecond)
	}
}

// stopped tells whether the kernel has stopped the process, or it has ended.
func (p *Process) stopped() bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return true
	}
	_, state, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(state, "T")
}

// Wake lets a frozen process go on.
func (p *Process) Wake() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended, once it has.
func (p *Process) Err() error { return p.err }
