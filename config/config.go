// Package config gives a document its meaning: workspaces, models, versions,
// cascades, roll-outs, pools and services, checked as a whole.
//
// An operator writes it as an INI file; docs/OPERATIONS.md describes each key.
// Check names the file, the line and the key of each fault and what was
// expected there.
package config

import (
	"time"

	"woaddoor/contract"
)

// Config is one checked configuration. It is not changed after it was built.
type Config struct {
	Workspaces map[contract.WorkspaceID]*Workspace
	Models     map[contract.ModelID]*Model
	Versions   map[contract.VersionID]*Version
	Cascades   map[string]*Cascade
	Rollouts   map[contract.ModelID]*Rollout
	Progress   map[contract.ModelID]*Progress
	Pools      map[contract.PoolID]*Pool
	Services   map[contract.ServiceID]*Service

	// byKey finds a workspace by the hash of its key.
	byKey map[KeyHash]*Workspace
}

// KeyHash is the SHA-256 of a workspace's key, in hex. Keys themselves are in
// no file and no log.
type KeyHash string

// BillPolicy says what to do when a bill can be kept neither by a peer nor by
// the platform.
type BillPolicy string

// The two policies.
const (
	// BillRefuse refuses the request: nothing runs that could go unbilled.
	BillRefuse BillPolicy = "refuse"
	// BillServe serves, and counts the amount as being at risk.
	BillServe BillPolicy = "serve"
)

// Workspace is a customer: what it may use, and its share.
type Workspace struct {
	ID      contract.WorkspaceID
	KeyHash KeyHash
	// Allow lists the versions the workspace may use. It is never empty.
	Allow map[contract.VersionID]bool
	// Share is its weight against the other workspaces. Zero means 1.
	Share int
	// Quality is the least share of good answers it accepts of a cascade.
	Quality float64
	// Bill says what happens when no bill can be kept. Empty means refuse.
	Bill BillPolicy
}

// Model is a model, and the version that serves it outside a roll-out.
type Model struct {
	ID    contract.ModelID
	Serve contract.VersionID
	// Input and Output are the prices of a million tokens.
	Input, Output contract.Price
}

// VersionState is what a version may be used for.
type VersionState string

// The states of a version. They only move down this list.
const (
	// Serving takes new sessions and requests.
	Serving VersionState = "serving"
	// Draining keeps its sessions and takes no new ones.
	Draining VersionState = "draining"
	// Withdrawn takes no new work at all, for ever.
	Withdrawn VersionState = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	ID    contract.VersionID
	State VersionState
	// ServeWithoutWord is how long a VM may go on giving the version new work
	// without fresh word from the platform. Zero means DefaultServeWithoutWord.
	ServeWithoutWord time.Duration
}

// MaxServeWithoutWord bounds how long a version may be served without word, so
// that the end of a withdrawal can be worked out from the changes of that time.
const MaxServeWithoutWord = 48 * time.Hour

// DefaultServeWithoutWord is used where a version does not say. It bounds both
// how long a cut-off data centre serves and how long a withdrawal may pend.
const DefaultServeWithoutWord = 2 * time.Minute

// Cascade tries a cheaper model first.
type Cascade struct {
	Name string
	// Models are in the order of their cost, cheapest first; two at least.
	Models []contract.ModelID
}

// Rollout is the plan by which a model moves to a new version.
type Rollout struct {
	Model contract.ModelID
	From  contract.VersionID
	To    contract.VersionID
	// Steps are the shares of new sessions, in percent, rising, at each step.
	Steps []float64
	// GoodRate and BadRate are the shares of bad answers between which the
	// sequential test decides.
	GoodRate, BadRate float64
	// FalseAlarm is the chance of halting a version that is good.
	FalseAlarm float64
	// Miss is the chance of passing a version that is bad.
	Miss float64
	// RatingsWithin halts the roll-out when no rating came for so long.
	RatingsWithin time.Duration
}

// RampState is where a roll-out stands.
type RampState string

// The states of a roll-out. Halted and Done are final.
const (
	Ramping RampState = "ramping"
	Halted  RampState = "halted"
	Done    RampState = "done"
)

// Progress is how far a roll-out got. The system writes it, never a file.
type Progress struct {
	Model contract.ModelID
	To    contract.VersionID
	Step  int
	State RampState
}

// PoolKind tells engines from plain services.
type PoolKind string

// The kinds of pools.
const (
	EnginePool  PoolKind = "engine"
	ServicePool PoolKind = "service"
)

// Fencing says what a pool's engines do with an order that carries an old
// fencing number.
type Fencing string

// The two behaviours of engines.
const (
	FencingRefuses Fencing = "refuses"
	FencingIgnores Fencing = "ignores"
)

// Pool is a set of like upstreams in one data centre.
type Pool struct {
	ID         contract.PoolID
	Kind       PoolKind
	DataCentre contract.DataCentreID
	Upstreams  []Upstream
	// Fencing says how its engines treat an old number. Empty means ignores,
	// which is the safe assumption.
	Fencing Fencing
	// Slots is how many requests one upstream works on at once. Zero means 8.
	Slots int
	// Connections is how many requests this VM may have at one upstream at the
	// same time. Zero means no bound.
	Connections int
}

// DefaultSlots is used where a pool does not say.
const DefaultSlots = 8

// Upstream is one back end of a pool.
type Upstream struct {
	ID contract.UpstreamID
	// URL is its base, such as "http://10.0.0.5:8000".
	URL string
}

// Service is a plain service beside the engines.
type Service struct {
	ID    contract.ServiceID
	Pools []contract.PoolID
	// NotRepeatable lists the calls that run at most once.
	NotRepeatable []CallPattern
	// Price is what one call costs, in millionths. Zero means nothing.
	Price contract.Money
}

// CallPattern is a method and a path; a path that ends in "*" is a prefix.
type CallPattern struct {
	Method string
	Path   string
}

// ByKey returns the workspace that the hash of a key belongs to.
func (c *Config) ByKey(h KeyHash) (*Workspace, bool) {
	w, ok := c.byKey[h]
	return w, ok
}

// ServeWithoutWord returns how long v may be served without fresh word.
func (c *Config) ServeWithoutWord(v contract.VersionID) time.Duration {
	version, ok := c.Versions[v]
	if !ok || version.ServeWithoutWord == 0 {
		return DefaultServeWithoutWord
	}
	return version.ServeWithoutWord
}

// LongestServeWithoutWord returns the longest such time over all versions of
// the configuration: after it, no VM that missed a change acts on the old one.
func (c *Config) LongestServeWithoutWord() time.Duration {
	longest := time.Duration(0)
	for id := range c.Versions {
		longest = max(longest, c.ServeWithoutWord(id))
	}
	return longest
}
