package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"woaddoor/contract"
	"woaddoor/document"
)

// Kinds of sections. A section header has the form "[kind name]".
const (
	kindWorkspace = "workspace"
	kindModel     = "model"
	kindVersion   = "version"
	kindCascade   = "cascade"
	kindRollout   = "rollout"
	kindPool      = "pool"
	kindService   = "service"
	kindProgress  = "progress"
	// KindConfiguration is the section that names the revision on which a file is based.
	// This section is not part of the stored document.
	KindConfiguration = "configuration"
)

// ProgressSectionName returns the name of the section
// that stores the progress of the rollout of model m.
func ProgressSectionName(m contract.ModelID) string { return kindProgress + " " + string(m) }

// VersionSectionName returns the name of the section that declares version v.
func VersionSectionName(v contract.VersionID) string { return kindVersion + " " + string(v) }

// IsSystemSection reports whether a section is written by the system and must
// not appear in an operator's file.
func IsSystemSection(name string) bool { return strings.HasPrefix(name, kindProgress+" ") }

// Parse parses and validates an operator's configuration file. name is the file
// name used in errors. Invalid text is reported as Faults.
func Parse(name string, text []byte) (*Config, *File, error) {
	f, err := ParseINI(name, text)
	if err != nil {
		return nil, nil, err
	}
	var faults Faults
	for section := range f.sections {
		if IsSystemSection(section) {
			faults = append(faults, Fault{name, f.Line(section, ""), section, "", "is written by the system: expected no such section in a file"})
		}
	}
	c, more := buildConfig(f)
	faults = append(faults, more...)
	sortFaults(faults)
	if err := faults.Err(); err != nil {
		return nil, nil, err
	}
	return c, f, nil
}

// FromDocument builds the configuration that a stored document describes. An
// invalid document is reported as Faults.
func FromDocument(d *document.Document) (*Config, error) {
	f := &File{Name: fmt.Sprintf("revision-%d", d.Revision), sections: d.Sections()}
	c, faults := buildConfig(f)
	sortFaults(faults)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// sortFaults sorts faults by line, then by section and key.
func sortFaults(faults Faults) {
	slices.SortFunc(faults, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Section+a.Key, b.Section+b.Key)
	})
}

// buildConfig reads every section, then checks the references between sections.
func buildConfig(f *File) (*Config, Faults) {
	c := &Config{
		Workspaces:         make(map[contract.WorkspaceID]*Workspace),
		Models:             make(map[contract.ModelID]*Model),
		Versions:           make(map[contract.VersionID]*Version),
		Cascades:           make(map[string]*Cascade),
		Rollouts:           make(map[contract.ModelID]*Rollout),
		Progress:           make(map[contract.ModelID]*Progress),
		Pools:              make(map[contract.PoolID]*Pool),
		Services:           make(map[contract.ServiceID]*Service),
		workspaceByKeyHash: make(map[KeyHash]*Workspace),
	}
	var faults Faults
	readers := make(map[string]*SectionReader, len(f.sections))
	for section := range f.sections {
		r := NewReader(f, section, &faults)
		readers[section] = r
		c.readSection(section, r)
	}
	ch := &checker{config: c, readers: readers}
	ch.check()
	return c, faults
}

// readSection reads one section into c, according to the kind in its name.
func (c *Config) readSection(section string, r *SectionReader) {
	kind, name, _ := strings.Cut(section, " ")
	if name == "" && kind != KindConfiguration {
		r.Fault("", `is not a valid section: expected "[kind name]" with a kind of workspace, model, version, cascade, rollout, pool, service`)
		return
	}
	switch kind {
	case kindWorkspace:
		c.readWorkspace(contract.WorkspaceID(name), r)
	case kindModel:
		c.readModel(contract.ModelID(name), r)
	case kindVersion:
		c.readVersion(contract.VersionID(name), r)
	case kindCascade:
		c.readCascade(name, r)
	case kindRollout:
		c.readRollout(contract.ModelID(name), r)
	case kindProgress:
		c.readProgress(contract.ModelID(name), r)
	case kindPool:
		c.readPool(contract.PoolID(name), r)
	case kindService:
		c.readService(contract.ServiceID(name), r)
	case KindConfiguration:
		r.Int("from", 0, 0, 1<<62)
	default:
		r.Fault("", "has an unknown kind: expected a kind of workspace, model, version, cascade, rollout, pool, service")
		return
	}
	r.RejectUnknownKeys()
}

func (c *Config) readWorkspace(id contract.WorkspaceID, r *SectionReader) {
	w := &Workspace{
		ID:              id,
		KeyHash:         KeyHash(r.Required("key-hash", "the SHA-256 of the workspace's API key, in hex")),
		AllowedVersions: make(map[contract.VersionID]bool),
		Weight:          r.Int("share", 1, 1, 1000),
		MinQuality:      r.Fraction("quality", 0),
		BillPolicy:      BillPolicy(r.OneOf("bill-at-risk", string(BillRefuse), string(BillRefuse), string(BillServe))),
	}
	if len(w.KeyHash) != 64 && w.KeyHash != "" {
		r.Fault("key-hash", "has %d characters: expected 64 hex digits (woaddoor keys hash prints them)", len(w.KeyHash))
	}
	r.Required("allow", "at least one version, such as chat-small@3")
	for _, v := range r.List("allow") {
		w.AllowedVersions[contract.VersionID(v)] = true
	}
	c.Workspaces[id] = w
}

func (c *Config) readModel(id contract.ModelID, r *SectionReader) {
	c.Models[id] = &Model{
		ID:             id,
		ServingVersion: contract.VersionID(r.Required("serve", "the version that serves the model")),
		InputPrice:     contract.PricePerMillion(r.Int("input-price", 0, 0, 1<<40)),
		OutputPrice:    contract.PricePerMillion(r.Int("output-price", 0, 0, 1<<40)),
	}
}

func (c *Config) readVersion(id contract.VersionID, r *SectionReader) {
	if !contract.IsVersion(string(id)) {
		r.Fault("", `is not a version: expected "model@number"`)
	}
	without := r.Duration("serve-without-word", 0)
	if without > MaxServeWithoutUpdate {
		r.Fault("serve-without-word", "is %v: expected at most %v", without, MaxServeWithoutUpdate)
	}
	c.Versions[id] = &Version{
		ID:                 id,
		State:              VersionState(r.OneOf("state", string(Serving), string(Serving), string(Draining), string(Withdrawn))),
		ServeWithoutUpdate: without,
	}
}

func (c *Config) readCascade(name string, r *SectionReader) {
	cascade := &Cascade{Name: name}
	for _, m := range r.List("models") {
		cascade.Models = append(cascade.Models, contract.ModelID(m))
	}
	if len(cascade.Models) < 2 {
		r.Fault("models", "has %d models: expected two or more, cheapest first", len(cascade.Models))
	}
	c.Cascades[name] = cascade
}

// Default settings of a rollout.
const (
	defaultGoodRate      = 0.02
	defaultBadRate       = 0.10
	defaultFalseAlarm    = 0.01
	defaultMiss          = 0.01
	defaultRatingsWithin = 10 * time.Minute
)

func (c *Config) readRollout(m contract.ModelID, r *SectionReader) {
	ro := &Rollout{
		Model:                 m,
		From:                  contract.VersionID(r.Required("from", "the version served now")),
		To:                    contract.VersionID(r.Required("to", "the new version")),
		Steps:                 r.RisingPercentages("steps"),
		GoodRate:              r.Fraction("good-rate", defaultGoodRate),
		BadRate:               r.Fraction("bad-rate", defaultBadRate),
		FalseAlarmProbability: r.Fraction("false-alarm", defaultFalseAlarm),
		MissProbability:       r.Fraction("miss", defaultMiss),
		RatingTimeout:         r.Duration("ratings-within", defaultRatingsWithin),
	}
	if len(ro.Steps) == 0 && !r.Has("steps") {
		r.Fault("steps", "is missing: expected rising percentages, such as 1%%, 5%%, 25%%, 100%%")
	}
	if ro.GoodRate >= ro.BadRate {
		r.Fault("bad-rate", "is %g: expected more than good-rate, %g", ro.BadRate, ro.GoodRate)
	}
	c.Rollouts[m] = ro
}

func (c *Config) readProgress(m contract.ModelID, r *SectionReader) {
	c.Progress[m] = &Progress{
		Model: m,
		To:    contract.VersionID(r.Required("to", "a version")),
		Step:  r.Int("step", 0, 0, 1000),
		State: RolloutState(r.OneOf("state", string(Ramping), string(Ramping), string(Halted), string(Done))),
	}
}

// Section returns p encoded as the text of its section.
func (p *Progress) Section() document.Section {
	return document.Section("state = " + string(p.State) + "\nstep = " + strconv.Itoa(p.Step) + "\nto = " + string(p.To) + "\n")
}

func (c *Config) readPool(id contract.PoolID, r *SectionReader) {
	p := &Pool{
		ID:         id,
		Kind:       PoolKind(r.OneOf("kind", string(EnginePool), string(EnginePool), string(ServicePool))),
		DataCentre: contract.DataCentreID(r.Required("data-centre", "the data centre of its upstreams")),
		Fencing:    FencingMode(r.OneOf("fencing", string(FencingIgnored), string(FencingIgnored), string(FencingEnforced))),
		Slots:      r.Int("slots", DefaultSlots, 1, 10000),
	}
	for _, item := range r.List("upstreams") {
		name, url, ok := strings.Cut(item, " ")
		if !ok || !strings.HasPrefix(url, "http") {
			r.Fault("upstreams", `has %q: expected "name http://address:port"`, item)
			continue
		}
		p.Upstreams = append(p.Upstreams, Upstream{ID: contract.UpstreamID(name), URL: strings.TrimSpace(url)})
	}
	if len(p.Upstreams) == 0 {
		r.Fault("upstreams", `is empty: expected "name http://address:port, ..."`)
	}
	c.Pools[id] = p
}

func (c *Config) readService(id contract.ServiceID, r *SectionReader) {
	s := &Service{ID: id, Price: contract.Money(r.Int("price", 0, 0, 1<<40))}
	for _, p := range r.List("pools") {
		s.Pools = append(s.Pools, contract.PoolID(p))
	}
	for _, item := range r.List("not-repeatable") {
		method, path, ok := strings.Cut(item, " ")
		if !ok || !strings.HasPrefix(path, "/") {
			r.Fault("not-repeatable", `has %q: expected "METHOD /path"`, item)
			continue
		}
		s.NotRepeatable = append(s.NotRepeatable, CallPattern{Method: method, Path: path})
	}
	c.Services[id] = s
}

// Repeatable reports whether a call of the service may run more than once. A call may,
// unless the call matches a pattern in NotRepeatable.
func (s *Service) Repeatable(method, path string) bool {
	for _, p := range s.NotRepeatable {
		prefix, isPrefix := strings.CutSuffix(p.Path, "*")
		if p.Method == method && (path == p.Path || isPrefix && strings.HasPrefix(path, prefix)) {
			return false
		}
	}
	return true
}
