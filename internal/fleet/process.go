package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
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

// Freeze stops the process in its tracks; Wake lets it go on.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (p *Process) Wake() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended, once it has.
func (p *Process) Err() error { return p.err }
