package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"woaddoor/contract"
	"woaddoor/explain"
)

// explainCmd prints the steps of a request from the log lines of VMs.
type explainCmd struct {
	Request string   `arg:"" help:"The id of the request."`
	Files   []string `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
}

// errEmptyRequestID means that the request id on the command line is empty.
var errEmptyRequestID = errors.New("the id of the request is empty")

// errRequestNotLogged means that no log line has the id of the request.
var errRequestNotLogged = errors.New("no log line has the id of this request: its VM logged elsewhere, was killed before the request ended, or never received it")

// Run prints the steps of the request, or returns errRequestNotLogged.
func (c *explainCmd) Run(s *invocation) error {
	if c.Request == "" {
		return errEmptyRequestID
	}
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	found, err := explain.Request(s.out, lines, contract.RequestID(c.Request))
	if err == nil && !found {
		return fmt.Errorf("%s: %w", c.Request, errRequestNotLogged)
	}
	return err
}

// lossesCmd prints why requests failed or were late, the late pauses of each upstream, and
// statistics of each model.
type lossesCmd struct {
	Files []string `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
}

// Run prints the causes of lost requests by route, the late pauses by upstream, and the statistics
// of each model.
func (c *lossesCmd) Run(s *invocation) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	if err := explain.Losses(s.out, lines); err != nil {
		return err
	}
	return explain.Models(s.out, lines)
}

// changesCmd prints the changes of the configuration and of upstreams from the log lines of VMs.
type changesCmd struct {
	Files []string `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
}

// Run prints each change once, in the order of the log lines.
func (c *changesCmd) Run(s *invocation) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	return explain.Changes(s.out, lines)
}

// usageCmd prints the holders of the lease (the VMs that act on behalf of all VMs) and the
// usage reports from the log lines of VMs.
type usageCmd struct {
	Files  []string      `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
	Window time.Duration `help:"The length of a window of usage." default:"5s"`
}

// callsCmd prints the calls to the platform's store from the log lines of VMs.
type callsCmd struct {
	Files []string `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
}

// Run prints the number of calls by VM, call and kind.
func (c *callsCmd) Run(s *invocation) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	return explain.StoreCalls(s.out, lines)
}

// errInvalidWindow means that the length of a usage window is not positive.
var errInvalidWindow = errors.New("--window must be greater than 0, for example 5s")

// Run prints the lease holders and the outcome of the usage report of each window.
func (c *usageCmd) Run(s *invocation) error {
	if c.Window <= 0 {
		return errInvalidWindow
	}
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	return explain.Usage(s.out, lines, c.Window)
}

// readLogs returns the log lines of the files,
// or of standard input if no files are given, sorted by time.
func readLogs(files []string) ([]*explain.Line, error) {
	if len(files) == 0 {
		return readLog(os.Stdin, "standard input")
	}
	var all []*explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := readLog(f, name)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	explain.Sort(all)
	return all, nil
}

// readLog returns the log lines of one source, sorted by time. name is for errors.
func readLog(r io.Reader, name string) ([]*explain.Line, error) {
	lines, _, err := explain.Read(r)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	explain.Sort(lines)
	return lines, nil
}
