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

// explainCmd tells the life of a request from log lines.
type explainCmd struct {
	Request string   `arg:"" help:"The id of the request."`
	Files   []string `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
}

// errEmptyRequestID means that the id is empty.
var errEmptyRequestID = errors.New("the id of the request is empty")

// errRequestNotLogged means that no line is of the request.
var errRequestNotLogged = errors.New("no log line is of this request: its VM logged elsewhere, was killed before it ended, or never got it")

// Run runs the command.
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

// lossesCmd tells why requests were not answered well and in time.
type lossesCmd struct {
	Files []string `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
}

// Run runs the command.
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

// changesCmd tells what changed from log lines.
type changesCmd struct {
	Files []string `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
}

// Run runs the command.
func (c *changesCmd) Run(s *invocation) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	return explain.Changes(s.out, lines)
}

// usageCmd tells who acted for all and what was reported of usage, from log lines.
type usageCmd struct {
	Files  []string      `arg:"" optional:"" help:"Log files of VMs; standard input when there is none." type:"existingfile"`
	Window time.Duration `help:"The length of a window of usage." default:"5s"`
}

// errInvalidWindow means that a window's length is no length.
var errInvalidWindow = errors.New("--window has to be above 0, for example 5s")

// Run runs the command.
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

// readLogs reads the lines of files, or of standard input, in the order of time.
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
		if closed := f.Close(); err == nil {
			err = closed
		}
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	explain.Sort(all)
	return all, nil
}

func readLog(r io.Reader, name string) ([]*explain.Line, error) {
	lines, _, err := explain.Read(r)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	explain.Sort(lines)
	return lines, nil
}
