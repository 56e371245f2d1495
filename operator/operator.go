// Package operator is what the woaddoor command does: it checks, plans and
// applies declarative files, withdraws versions, and shows what is in force.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/datacentre"
	"woaddoor/document"
	"woaddoor/history"
	"woaddoor/store"
)

// Operator works on one platform.
type Operator struct {
	Store store.Store
	VMs   store.VMList
	// Now tells the time, for records and for ends that it states.
	Now func() time.Time
}

// ErrNoBase means that a file does not say which revision it was made from.
var ErrNoBase = errors.New("the file does not say which revision it was made from")

// StaleError means that a file was made from an older revision: what was
// changed since would be undone.
type StaleError struct {
	From, Now contract.Revision
	Since     []document.Change
}

// Error names the changes that the file does not know of.
func (e *StaleError) Error() string {
	lines := []string{fmt.Sprintf("the file was made from revision %d, accepted now is %d; since then:", e.From, e.Now)}
	for _, c := range e.Since {
		names := make([]string, len(c.Sections))
		for i, s := range c.Sections {
			names[i] = s.Name
		}
		lines = append(lines, fmt.Sprintf("  revision %d by %s, %s: %s", c.ToRevision, c.Who, c.Why, strings.Join(names, ", ")))
	}
	return strings.Join(append(lines, "run woaddoor show, carry your change over, and apply again"), "\n")
}

// Plan is what applying a file would change.
type Plan struct {
	From     contract.Revision        `json:"from"`
	Changes  []document.SectionChange `json:"changes"`
	base     history.Snapshot
	sections map[string]document.Section
}

// Plan checks a file against the accepted configuration. It changes nothing.
func (o *Operator) Plan(ctx context.Context, name string, text []byte) (*Plan, error) {
	_, f, err := config.Parse(name, text)
	if err != nil {
		return nil, err
	}
	base, err := history.Load(ctx, o.Store)
	if err != nil {
		return nil, err
	}
	sections, err := config.Successor(base.Document, f)
	if err != nil {
		return nil, err
	}
	next := document.New(base.Root.Revision+1, "", sections)
	return &Plan{From: base.Root.Revision, Changes: document.Diff(base.Document, next), base: base, sections: sections}, nil
}

// Apply makes a file the accepted configuration, as a whole or not at all.
// from is the revision that it was made from; negative means what the file's
// own [configuration] section says.
func (o *Operator) Apply(ctx context.Context, name string, text []byte, from int64, a history.Author) (document.Root, error) {
	p, err := o.Plan(ctx, name, text)
	if err != nil {
		return document.Root{}, err
	}
	if err := o.checkBase(ctx, name, text, from, p); err != nil {
		return document.Root{}, err
	}
	if len(p.Changes) == 0 {
		return p.base.Root, nil
	}
	return history.Publish(ctx, o.Store, p.base, p.sections, a)
}

// checkBase refuses a file that was not made from what is accepted now: it
// would undo what others changed since.
func (o *Operator) checkBase(ctx context.Context, name string, text []byte, from int64, p *Plan) error {
	if p.From == 0 {
		return nil // the first configuration
	}
	if from < 0 {
		stated, err := baseOf(name, text)
		if err != nil {
			return err
		}
		from = stated
	}
	if contract.Revision(from) == p.From {
		return nil
	}
	stale := &StaleError{From: contract.Revision(from), Now: p.From}
	err := history.Walk(ctx, o.Store, func(c document.Change) bool {
		if c.ToRevision <= stale.From {
			return false
		}
		stale.Since = append(stale.Since, c)
		return true
	})
	if err != nil {
		return err
	}
	return stale
}

// fromPrefix begins the line of a file that names its base.
const fromPrefix = "from = "

func baseOf(name string, text []byte) (int64, error) {
	f, err := config.ReadFile(name, text)
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(f.Sections()[config.KindFrom]), "\n") {
		if number, ok := strings.CutPrefix(line, fromPrefix); ok {
			return strconv.ParseInt(number, 10, 64)
		}
	}
	return 0, fmt.Errorf("%s: %w: expected [%s] with from = REVISION (woaddoor show prints it), or --from", name, ErrNoBase, config.KindFrom)
}

// Show returns the accepted configuration as a file, with the revision it is
// made from.
func (o *Operator) Show(ctx context.Context) (string, error) {
	base, err := history.Load(ctx, o.Store)
	if err != nil {
		return "", err
	}
	sections := base.Document.Sections()
	for name := range sections {
		if config.IsSystemSection(name) {
			delete(sections, name)
		}
	}
	head := fmt.Sprintf("[%s]\n%s%d\n\n", config.KindFrom, fromPrefix, base.Root.Revision)
	return head + document.New(0, "", sections).Text(), nil
}

// withdrawTries bounds how often a withdrawal is carried over to a newer
// configuration: it only takes away, so it fits any.
const withdrawTries = 10

// ErrNoVersion means that there is no such version.
var ErrNoVersion = errors.New("no such version")

// Withdraw withdraws a version, whatever else changes at the same time.
func (o *Operator) Withdraw(ctx context.Context, v contract.VersionID, a history.Author) (document.Root, error) {
	for n := 1; ; n++ {
		base, err := history.Load(ctx, o.Store)
		if err != nil {
			return document.Root{}, err
		}
		sections, changed, err := withdrawn(base.Document, v)
		if err != nil {
			return document.Root{}, err
		}
		if !changed {
			return base.Root, nil
		}
		root, err := history.Publish(ctx, o.Store, base, sections, a)
		var conflict *history.Conflict
		if !errors.As(err, &conflict) || n == withdrawTries {
			return root, err
		}
	}
}

const statePrefix = "state = "

func withdrawn(d *document.Document, v contract.VersionID) (map[string]document.Section, bool, error) {
	name := config.VersionSection(v)
	old, ok := d.Section(name)
	if !ok {
		return nil, false, fmt.Errorf("%w: %s", ErrNoVersion, v)
	}
	lines := []string{}
	for _, line := range strings.Split(strings.TrimSuffix(string(old), "\n"), "\n") {
		if line != "" && !strings.HasPrefix(line, statePrefix) {
			lines = append(lines, line)
		}
	}
	lines = append(lines, statePrefix+string(config.Withdrawn))
	text := document.Section(strings.Join(sortedLines(lines), "\n") + "\n")
	sections := d.Sections()
	sections[name] = text
	return sections, text != old, nil
}

// Force tells where a revision is in force now.
func (o *Operator) Force(ctx context.Context, root document.Root) (datacentre.Force, error) {
	statuses, err := o.statuses(ctx)
	if err != nil {
		return datacentre.Force{}, err
	}
	vms, err := o.VMs.VMs(ctx)
	if err != nil {
		return datacentre.Force{}, err
	}
	expected := make(map[contract.VMID]contract.DataCentreID)
	for _, e := range vms {
		if !e.Upstream && e.State == contract.VMLive {
			expected[e.ID] = e.DataCentre
		}
	}
	sureAt, err := o.sureAt(ctx, root)
	if err != nil {
		return datacentre.Force{}, err
	}
	return datacentre.Assess(root.Revision, statuses, expected, sureAt), nil
}

func (o *Operator) statuses(ctx context.Context) ([]datacentre.Status, error) {
	names, err := o.Store.List(ctx, datacentre.StatusPrefix, "")
	if err != nil {
		return nil, err
	}
	var statuses []datacentre.Status
	for _, name := range names {
		obj, err := o.Store.Read(ctx, name)
		if err != nil {
			return nil, err
		}
		var st datacentre.Status
		if err := json.Unmarshal(obj.Value, &st); err != nil {
			return nil, contract.Fail(contract.StepApply, name, err)
		}
		statuses = append(statuses, st)
	}
	return statuses, nil
}

// clockSlack covers what clocks run apart while a permission lasts.
const clockSlack = 2 * time.Second

// sureAt returns when no VM can act on a configuration before root any more:
// each earlier one could be acted on until its successor was accepted, and
// then for the longest time without word that it gave.
func (o *Operator) sureAt(ctx context.Context, root document.Root) (time.Time, error) {
	sure := time.Time{}
	acceptedNext := time.Time{}
	var failed error
	err := history.Walk(ctx, o.Store, func(c document.Change) bool {
		if c.ToRevision < root.Revision && !acceptedNext.IsZero() {
			longest, err := o.longest(ctx, c)
			if err != nil {
				failed = err // an end that leaves one out would be too early
				return false
			}
			if end := acceptedNext.Add(longest + clockSlack); end.After(sure) {
				sure = end
			}
		}
		if c.ToRevision <= root.Revision {
			acceptedNext = c.At
		}
		return o.Now().Sub(c.At) < historyWindow
	})
	return sure, errors.Join(err, failed)
}

// historyWindow is how far back configurations are looked at: no VM can act on
// one that was replaced longer ago.
const historyWindow = config.MaxServeWithoutWord + time.Hour

func (o *Operator) longest(ctx context.Context, c document.Change) (time.Duration, error) {
	obj, err := o.Store.Read(ctx, document.ContentName(c.Hash))
	if err != nil {
		return 0, err
	}
	d, err := document.DecodeContent(document.Root{Revision: c.ToRevision, Change: c.ID, Hash: c.Hash}, obj.Value)
	if err != nil {
		return 0, err
	}
	conf, err := config.FromDocument(d)
	if err != nil {
		return 0, err
	}
	return conf.LongestServeWithoutWord(), nil
}

// Wait returns once the revision is in force everywhere, or when ctx ends; it
// calls progress with each state on the way.
func (o *Operator) Wait(ctx context.Context, root document.Root, progress func(datacentre.Force)) (datacentre.Force, error) {
	var f datacentre.Force
	for {
		got, err := o.Force(ctx, root)
		if err == nil {
			f = got
			progress(f)
			if f.Everywhere(o.Now()) {
				return f, nil
			}
		}
		select {
		case <-ctx.Done():
			return f, errors.Join(ctx.Err(), err)
		case <-time.After(forceEvery):
		}
	}
}

// forceEvery is how often the platform is asked while waiting.
const forceEvery = 300 * time.Millisecond
