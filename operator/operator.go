// Package operator implements the operations of the woaddoor command: it plans and
// applies configuration files, withdraws versions,
// and shows which revision is in force on which VM.
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

// Operator performs operations on the configuration of one platform.
type Operator struct {
	Store store.Store
	VMs   store.VMList
	// Now returns the current time. Tests replace it.
	Now func() time.Time
}

// ErrNoBaseRevision means that a file does not name the revision that it is based on.
var ErrNoBaseRevision = errors.New("the file does not name the revision that it is based on")

// StaleError means that a file is based on an older revision than the accepted
// revision. Applying the file would undo the changes that were accepted since the older revision.
type StaleError struct {
	BaseRevision, AcceptedRevision contract.Revision
	NewerChanges                   []document.Change
}

// Error lists the accepted changes that the operator's file does not include.
func (e *StaleError) Error() string {
	lines := []string{fmt.Sprintf("the file is based on revision %d, but revision %d is accepted; changes since then:", e.BaseRevision, e.AcceptedRevision)}
	for _, c := range e.NewerChanges {
		names := make([]string, len(c.Sections))
		for i, s := range c.Sections {
			names[i] = s.Name
		}
		lines = append(lines, fmt.Sprintf("  revision %d by %s, %s: %s", c.ToRevision, c.Author, c.Reason, strings.Join(names, ", ")))
	}
	return strings.Join(append(lines, "run woaddoor show, make your change in its output, and apply that"), "\n")
}

// Plan lists the changes that applying a file would make.
type Plan struct {
	BaseRevision contract.Revision        `json:"from"`
	Changes      []document.SectionChange `json:"changes"`
	base         history.Snapshot
	sections     map[string]document.Section
}

// Plan validates a file and compares it with the accepted configuration, without changing anything.
func (o *Operator) Plan(ctx context.Context, name string, text []byte) (*Plan, error) {
	_, f, err := config.Parse(name, text)
	if err != nil {
		return nil, err
	}
	base, err := history.Load(ctx, o.Store)
	if err != nil {
		return nil, err
	}
	sections, err := config.NextSections(base.Document, f)
	if err != nil {
		return nil, err
	}
	next := document.New(base.Root.Revision+1, "", sections)
	return &Plan{BaseRevision: base.Root.Revision, Changes: document.Diff(base.Document, next), base: base, sections: sections}, nil
}

// Apply makes a file the accepted configuration, entirely or not at all. from is
// the revision on which the file is based. If from is negative, the file's
// [configuration] section names the revision.
func (o *Operator) Apply(ctx context.Context, name string, text []byte, from int64, info history.ChangeInfo) (document.Root, error) {
	p, err := o.Plan(ctx, name, text)
	if err != nil {
		return document.Root{}, err
	}
	if err := o.checkBaseRevision(ctx, name, text, from, p); err != nil {
		return document.Root{}, err
	}
	if len(p.Changes) == 0 {
		return p.base.Root, nil
	}
	return history.Publish(ctx, o.Store, p.base, p.sections, info)
}

// checkBaseRevision refuses a file that is not based on the accepted revision,
// because such a file would undo the changes that were accepted since its base revision.
func (o *Operator) checkBaseRevision(ctx context.Context, name string, text []byte, from int64, p *Plan) error {
	if p.BaseRevision == 0 {
		return nil // no configuration has been accepted yet
	}
	if from < 0 {
		stated, err := statedBaseRevision(name, text)
		if err != nil {
			return err
		}
		from = stated
	}
	if contract.Revision(from) == p.BaseRevision {
		return nil
	}
	stale := &StaleError{BaseRevision: contract.Revision(from), AcceptedRevision: p.BaseRevision}
	err := history.WalkChanges(ctx, o.Store, func(c document.Change) bool {
		if c.ToRevision <= stale.BaseRevision {
			return false
		}
		stale.NewerChanges = append(stale.NewerChanges, c)
		return true
	})
	if err != nil {
		return err
	}
	return stale
}

// baseRevisionPrefix starts the line of a file that names its base revision.
const baseRevisionPrefix = "from = "

// statedBaseRevision returns the revision that a file's [configuration] section names.
func statedBaseRevision(name string, text []byte) (int64, error) {
	f, err := config.ParseINI(name, text)
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(f.Sections()[config.KindConfiguration]), "\n") {
		if number, ok := strings.CutPrefix(line, baseRevisionPrefix); ok {
			return strconv.ParseInt(number, 10, 64)
		}
	}
	return 0, fmt.Errorf("%s: %w: expected [%s] with from = REVISION (woaddoor show prints it), or --from", name, ErrNoBaseRevision, config.KindConfiguration)
}

// Show returns the accepted configuration as the text of a file that names the
// accepted revision as its base.
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
	head := fmt.Sprintf("[%s]\n%s%d\n\n", config.KindConfiguration, baseRevisionPrefix, base.Root.Revision)
	return head + document.New(0, "", sections).Text(), nil
}

// maxWithdrawAttempts is how often a withdrawal is attempted while other changes
// conflict with it. A withdrawal can be retried on any newer configuration, because a
// withdrawal changes only the state of one version.
const maxWithdrawAttempts = 10

// ErrUnknownVersion means that the configuration does not declare the version.
var ErrUnknownVersion = errors.New("the configuration does not declare the version")

// Withdraw withdraws a version, even if other operators change the configuration at the same time.
func (o *Operator) Withdraw(ctx context.Context, v contract.VersionID, info history.ChangeInfo) (document.Root, error) {
	for n := 1; ; n++ {
		base, err := history.Load(ctx, o.Store)
		if err != nil {
			return document.Root{}, err
		}
		sections, changed, err := sectionsWithWithdrawal(base.Document, v)
		if err != nil {
			return document.Root{}, err
		}
		if !changed {
			return base.Root, nil
		}
		root, err := history.Publish(ctx, o.Store, base, sections, info)
		var conflict *history.ConflictError
		if !errors.As(err, &conflict) || n == maxWithdrawAttempts {
			return root, err
		}
	}
}

// statePrefix starts the line of a section that holds the state of a version.
const statePrefix = "state = "

// sectionsWithWithdrawal returns the sections of d with version v withdrawn, and
// whether these sections differ from the sections of d.
func sectionsWithWithdrawal(d *document.Document, v contract.VersionID) (map[string]document.Section, bool, error) {
	name := config.VersionSectionName(v)
	old, ok := d.Section(name)
	if !ok {
		return nil, false, fmt.Errorf("%w: %s", ErrUnknownVersion, v)
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

// RevisionStatus returns the VMs on which a revision is in force,
// and the VMs on which the revision is pending.
func (o *Operator) RevisionStatus(ctx context.Context, root document.Root) (datacentre.RevisionStatus, error) {
	statuses, err := o.statuses(ctx)
	if err != nil {
		return datacentre.RevisionStatus{}, err
	}
	vms, err := o.VMs.VMs(ctx)
	if err != nil {
		return datacentre.RevisionStatus{}, err
	}
	expected := make(map[contract.VMID]contract.DataCentreID)
	for _, e := range vms {
		if !e.Upstream && e.State == contract.VMLive {
			expected[e.ID] = e.DataCentre
		}
	}
	olderExpireAt, err := o.olderExpireAt(ctx, root)
	if err != nil {
		return datacentre.RevisionStatus{}, err
	}
	return datacentre.AssessRevision(root.Revision, statuses, expected, olderExpireAt), nil
}

// statuses returns the status that each data centre has stored.
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
			return nil, contract.WrapStep(contract.StepApply, name, err)
		}
		statuses = append(statuses, st)
	}
	return statuses, nil
}

// maxClockSkew is the assumed maximum difference between the clocks of a VM and of the
// operator's machine while the VM may serve a version without an update.
const maxClockSkew = 2 * time.Second

// olderExpireAt returns the time from which no VM can act on a configuration
// older than root. A VM without updates acts on a configuration for at most the
// LongestServeWithoutUpdate of this configuration,
// counted from the acceptance of the next configuration.
func (o *Operator) olderExpireAt(ctx context.Context, root document.Root) (time.Time, error) {
	latest := time.Time{}
	nextAcceptedAt := time.Time{}
	var readErr error
	err := history.WalkChanges(ctx, o.Store, func(c document.Change) bool {
		if c.ToRevision < root.Revision && !nextAcceptedAt.IsZero() {
			longest, err := o.longestServeWithoutUpdate(ctx, c)
			if err != nil {
				readErr = err // the result could be too early if this configuration were skipped
				return false
			}
			if end := nextAcceptedAt.Add(longest + maxClockSkew); end.After(latest) {
				latest = end
			}
		}
		if c.ToRevision <= root.Revision {
			nextAcceptedAt = c.At
		}
		return o.Now().Sub(c.At) < historyLookback
	})
	return latest, errors.Join(err, readErr)
}

// historyLookback is how far back older configurations are read. No VM can act on
// a configuration that was replaced longer ago than historyLookback.
const historyLookback = config.MaxServeWithoutUpdate + time.Hour

func (o *Operator) longestServeWithoutUpdate(ctx context.Context, c document.Change) (time.Duration, error) {
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
	return conf.LongestServeWithoutUpdate(), nil
}

// Wait returns once the revision is in force on every VM, or when ctx ends. It
// calls progress with the status of the revision after each poll.
func (o *Operator) Wait(ctx context.Context, root document.Root, progress func(datacentre.RevisionStatus)) (datacentre.RevisionStatus, error) {
	var status datacentre.RevisionStatus
	for {
		got, err := o.RevisionStatus(ctx, root)
		if err == nil {
			status = got
			progress(status)
			if status.InForceEverywhere(o.Now()) {
				return status, nil
			}
		}
		select {
		case <-ctx.Done():
			return status, errors.Join(ctx.Err(), err)
		case <-time.After(waitPollInterval):
		}
	}
}

// waitPollInterval is the interval at which Wait polls the platform.
const waitPollInterval = 300 * time.Millisecond
