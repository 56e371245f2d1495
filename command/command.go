// Package command implements the command line of woaddoor, the operator's tool.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kong"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/datacentre"
	"woaddoor/document"
	"woaddoor/history"
	"woaddoor/keys"
	"woaddoor/operator"
	"woaddoor/store"
)

// Exit codes of the tool. docs/OPERATIONS.md lists them.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitInvalid        = 2 // the file or the arguments are invalid; nothing was changed
	ExitConflict       = 3 // another change was accepted first; nothing was changed
	ExitPending        = 4 // the change is accepted but not yet in force on every VM
	ExitUnknownOutcome = 5 // it is not known whether the change was accepted
)

// commands declares the global flags and the commands of the tool.
type commands struct {
	Platform string        `help:"The platform's address." env:"WOADDOOR_PLATFORM" default:"http://127.0.0.1:7000"`
	Output   string        `help:"Form of the output." enum:"text,json" default:"text"`
	Timeout  time.Duration `help:"How long to wait for the platform and for a change to be in force." default:"30s"`

	Check    checkCmd    `cmd:"" help:"Check a configuration file. Example: woaddoor check site.ini"`
	Plan     planCmd     `cmd:"" help:"Show what applying a file would change. Example: woaddoor plan site.ini"`
	Apply    applyCmd    `cmd:"" help:"Make a file the configuration, and wait until it is in force. Example: woaddoor apply site.ini --why 'new model'"`
	Show     showCmd     `cmd:"" help:"Print the configuration as a file. Example: woaddoor show > site.ini"`
	Status   statusCmd   `cmd:"" help:"Show where the configuration is in force. Example: woaddoor status"`
	History  historyCmd  `cmd:"" help:"Show the audit trail. Example: woaddoor history --limit 5"`
	Withdraw withdrawCmd `cmd:"" help:"Withdraw a version for good. Example: woaddoor withdraw chat-small@3 --why 'bad answers'"`
	Bill     billCmd     `cmd:"" help:"Show what each workspace owes. Example: woaddoor bill --output json"`
	Explain  explainCmd  `cmd:"" help:"Tell the life of a request from the log lines of VMs. Example: cat vm-*.log | woaddoor explain 9c41d07be2a35f68"`
	Losses   lossesCmd   `cmd:"" help:"Tell why requests were not answered well and in time, by route, and which upstreams paused within streams, from the log lines of VMs. Example: woaddoor losses vm-*.log"`
	Changes  changesCmd  `cmd:"" help:"Tell what changed, by revision, from the log lines of VMs. Example: woaddoor changes vm-*.log"`
	Usage    usageCmd    `cmd:"" help:"Tell who acted for all VMs and what was reported of usage, from the log lines of VMs. Example: woaddoor usage vm-*.log"`
	Calls    callsCmd    `cmd:"" help:"Count the calls to the platform's store by VM, call and kind, from the log lines of VMs. Example: woaddoor calls vm-*.log"`
	Vms      vmsCmd      `cmd:"" help:"Show a table of VMs from their metrics. Example: woaddoor vms 10.1.0.40:9464 10.2.0.29:9464"`
	Keys     keysCmd     `cmd:"" help:"Make keys for VMs, or hash a workspace's key."`
}

// invocation holds what a command needs to run: its context, the operator of the
// platform, and where and in which format to print.
type invocation struct {
	ctx      context.Context
	operator *operator.Operator
	out      io.Writer
	json     bool
}

// Run runs the tool with the command-line arguments and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var c commands
	code := -1
	parser, err := kong.New(&c, kong.Name("woaddoor"), kong.Writers(stdout, stderr),
		kong.Description("Operates a fleet of woaddoor: declarative files, versions, bills. Exit codes: 0 done, 1 failed, 2 invalid, 3 conflict, 4 pending, 5 not known."),
		kong.Exit(func(n int) { code = n }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	parsed, err := parser.Parse(args)
	if code >= 0 { // kong printed the help and called Exit
		return code
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitInvalid
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	client := store.NewClient(&store.Options{URL: c.Platform})
	s := &invocation{ctx: ctx, operator: &operator.Operator{Store: client, VMs: client, Now: time.Now}, out: stdout, json: c.Output == "json"}
	err = parsed.Run(s)
	if err != nil {
		fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

// pendingError means that a change is accepted but not yet in force on every VM.
type pendingError struct{ status datacentre.RevisionStatus }

func (e *pendingError) Error() string {
	text := fmt.Sprintf("revision %d is accepted; pending:", e.status.Revision)
	for _, p := range e.status.Pending {
		text += "\n  " + pendingLine(p)
	}
	return text
}

// pendingLine describes a VM on which a revision is not yet in force: the revision that
// the VM has, and until when the VM may act on an older revision.
func pendingLine(p datacentre.PendingVM) string {
	has := fmt.Sprintf("has revision %d", p.Revision)
	if p.Revision == 0 {
		has = "has not reported its revision"
	}
	until := "; there is no older revision to act on"
	if !p.Until.IsZero() {
		until = "; it may act on an older revision until " + p.Until.Format(time.RFC3339)
	}
	return fmt.Sprintf("%s in %s %s%s", p.VM, p.DataCentre, has, until)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var faults config.Faults
	var conflict *history.ConflictError
	var stale *operator.StaleError
	var unknownOutcome *history.UnknownOutcomeError
	var pending *pendingError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults), errors.Is(err, operator.ErrNoBaseRevision), errors.Is(err, operator.ErrUnknownVersion):
		return ExitInvalid
	case errors.As(err, &conflict), errors.As(err, &stale):
		return ExitConflict
	case errors.As(err, &pending):
		return ExitPending
	case errors.As(err, &unknownOutcome):
		return ExitUnknownOutcome
	}
	return ExitFailed
}

// printResult prints v as JSON if the user asked for JSON, and otherwise calls text.
func (s *invocation) printResult(v any, text func()) error {
	if !s.json {
		text()
		return nil
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// fileArg is the argument of the commands that take a configuration file.
type fileArg struct {
	File string `arg:"" help:"The configuration file (INI)." type:"existingfile"`
}

// checkCmd validates a configuration file without contacting the platform.
type checkCmd struct{ fileArg }

// Run validates the file and prints what it declares.
func (c *checkCmd) Run(s *invocation) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	conf, _, err := config.Parse(c.File, text)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s is good: %d workspaces, %d versions, %d pools, %d roll-outs\n",
		c.File, len(conf.Workspaces), len(conf.Versions), len(conf.Pools), len(conf.Rollouts))
	return nil
}

// planCmd shows the changes that applying a file would make.
type planCmd struct{ fileArg }

// Run prints the sections that would change, line by line.
func (c *planCmd) Run(s *invocation) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	p, err := s.operator.Plan(s.ctx, c.File, text)
	if err != nil {
		return err
	}
	return s.printResult(p, func() {
		fmt.Fprintf(s.out, "from revision %d, %d sections change\n", p.BaseRevision, len(p.Changes))
		printChanges(s.out, p.Changes)
	})
}

// printChanges prints the removed and added lines of each changed section.
func printChanges(w io.Writer, changes []document.SectionChange) {
	for _, ch := range changes {
		fmt.Fprintf(w, "[%s]\n", ch.Name)
		printSection(w, "- ", ch.From)
		printSection(w, "+ ", ch.To)
	}
}

// authorFlags are the flags that record who makes a change, and why.
type authorFlags struct {
	Who string `help:"Who makes the change. Default: the user's name." default:""`
	Why string `help:"Why, for the audit trail." required:""`
}

// author returns the author, the reason and the time of a change of the configuration that is
// made now. The author defaults to the current user.
func (f authorFlags) author() history.ChangeInfo {
	who := f.Who
	if who == "" {
		if u, err := user.Current(); err == nil {
			who = u.Username
		}
	}
	return history.ChangeInfo{Author: who, Reason: f.Why, At: time.Now()}
}

// applyCmd makes a file the accepted configuration.
type applyCmd struct {
	fileArg
	authorFlags
	From   int64 `help:"The revision that the file was made from. Default: what its [configuration] section says." default:"-1"`
	NoWait bool  `help:"Do not wait until it is in force."`
}

// Run applies the file and, unless NoWait is set, waits until the configuration is in force.
func (c *applyCmd) Run(s *invocation) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	root, err := s.operator.Apply(s.ctx, c.File, text, c.From, c.author())
	if err != nil {
		return err
	}
	if c.NoWait {
		return s.printResult(root, func() { fmt.Fprintf(s.out, "accepted: revision %d\n", root.Revision) })
	}
	return s.waitUntilInForce(root)
}

// waitUntilInForce prints the progress of an accepted change until the change is in force on
// every VM. It returns a pendingError if the context ends first.
func (s *invocation) waitUntilInForce(root document.Root) error {
	if !s.json {
		fmt.Fprintf(s.out, "accepted: revision %d, change %s\n", root.Revision, root.Change)
	}
	lastLine := ""
	f, err := s.operator.Wait(s.ctx, root, func(f datacentre.RevisionStatus) {
		line := fmt.Sprintf("in force on %d VMs, pending on %d", len(f.InForce), len(f.Pending))
		if line != lastLine && !s.json {
			fmt.Fprintln(s.out, line)
			lastLine = line
		}
	})
	if printErr := s.printResult(f, func() {}); printErr != nil {
		return printErr
	}
	if err != nil {
		return &pendingError{f}
	}
	if !s.json {
		fmt.Fprintf(s.out, "in force everywhere: revision %d\n", root.Revision)
	}
	return nil
}

// showCmd prints the accepted configuration.
type showCmd struct{}

// Run prints the configuration as a file that can be edited and applied.
func (*showCmd) Run(s *invocation) error {
	text, err := s.operator.Show(s.ctx)
	if err != nil {
		return err
	}
	fmt.Fprint(s.out, text)
	return nil
}

// statusCmd shows where the accepted configuration is in force.
type statusCmd struct{}

// Run prints the VMs on which the accepted revision is in force or pending.
func (*statusCmd) Run(s *invocation) error {
	base, err := history.Load(s.ctx, s.operator.Store)
	if err != nil {
		return err
	}
	f, err := s.operator.RevisionStatus(s.ctx, base.Root)
	if err != nil {
		return err
	}
	return s.printResult(f, func() {
		fmt.Fprintf(s.out, "revision %d, in force on %v\n", f.Revision, f.InForce)
		for _, p := range f.Pending {
			fmt.Fprintln(s.out, "pending: "+pendingLine(p))
		}
	})
}

// historyCmd shows the audit trail of the configuration.
type historyCmd struct {
	Limit int `help:"How many changes to show." default:"20"`
}

// Run prints the latest changes, latest first.
func (c *historyCmd) Run(s *invocation) error {
	changes, err := s.operator.History(s.ctx, c.Limit)
	if err != nil {
		return err
	}
	return s.printResult(changes, func() {
		for _, ch := range changes {
			fmt.Fprintf(s.out, "revision %d  %s  by %s: %s  (%d sections, change %s)\n",
				ch.ToRevision, ch.At.Format(time.RFC3339), ch.Author, ch.Reason, len(ch.Sections), ch.ID)
		}
	})
}

// withdrawCmd withdraws a version permanently.
type withdrawCmd struct {
	authorFlags
	Version string `arg:"" help:"The version, such as chat-small@3."`
}

// Run withdraws the version and waits until the withdrawal is in force.
func (c *withdrawCmd) Run(s *invocation) error {
	root, err := s.operator.Withdraw(s.ctx, contract.VersionID(c.Version), c.author())
	if err != nil {
		return err
	}
	return s.waitUntilInForce(root)
}

// billCmd shows the amount that each workspace owes.
type billCmd struct{}

// Run prints the requests, tokens and amount of each workspace.
func (*billCmd) Run(s *invocation) error {
	sums, err := s.operator.Bills(s.ctx)
	if err != nil {
		return err
	}
	return s.printResult(sums, func() {
		for _, b := range sums {
			fmt.Fprintf(s.out, "%s: %d requests, %d input and %d output tokens, %d millionths\n", b.Workspace, b.Requests, b.Input, b.Output, b.Amount)
		}
	})
}

// keysCmd groups the commands for keys.
type keysCmd struct {
	Make makeKeysCmd `cmd:"" help:"Make keys for trial use. Example: woaddoor keys make keys a1 a2 b1"`
	Hash hashKeyCmd  `cmd:"" help:"Print the hash of a workspace's key, read from standard input, for a configuration file."`
}

// makeKeysCmd generates the key files of VMs for trial use.
type makeKeysCmd struct {
	Dir   string   `arg:"" help:"The directory to write to."`
	Names []string `arg:"" help:"The names of the VMs."`
}

// Run writes a key pair for each VM, the pins file and the signing key to Dir.
func (c *makeKeysCmd) Run(s *invocation) error {
	if err := keys.GenerateFiles(c.Dir, c.Names); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%d key pairs, %s and %s are in %s\n", len(c.Names), keys.PinsFile, keys.SigningFile, c.Dir)
	return nil
}

// hashKeyCmd prints the hash of a workspace's API key.
type hashKeyCmd struct{}

// maxKeyBytes is the maximum length of a workspace's API key.
const maxKeyBytes = 4096

// Run reads a workspace's API key from standard input and prints the hash of the key.
func (*hashKeyCmd) Run(s *invocation) error {
	raw, err := io.ReadAll(io.LimitReader(os.Stdin, maxKeyBytes))
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out, keys.HashAPIKey(trimLineEnd(raw)))
	return nil
}
