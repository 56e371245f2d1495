// Package config parses and validates the configuration: workspaces, models,
// versions, cascades, rollouts, pools and services.
//
// An operator writes the configuration as an INI file; docs/OPERATIONS.md
// describes each key. Every error names the file, the line and the key, and the
// value that was expected there.
package config

import (
	"time"

	"woaddoor/contract"
)

// Config is one validated configuration. It is immutable.
type Config struct {
	Workspaces map[contract.WorkspaceID]*Workspace
	Models     map[contract.ModelID]*Model
	Versions   map[contract.VersionID]*Version
	Cascades   map[string]*Cascade
	Rollouts   map[contract.ModelID]*Rollout
	Progress   map[contract.ModelID]*Progress
	Pools      map[contract.PoolID]*Pool
	Services   map[contract.ServiceID]*Service

	// workspaceByKeyHash indexes the workspaces by the hash of their API key.
	workspaceByKeyHash map[KeyHash]*Workspace
}

// KeyHash is the SHA-256 of a workspace's API key, in hex. The keys themselves
// are never stored in a file or written to a log.
type KeyHash string

// BillPolicy is what a VM does with a request
// when neither a peer nor the platform can store its bill record.
type BillPolicy string

// The policies for requests whose bill record cannot be stored.
const (
	// BillRefuse refuses the request, so that no unbilled request runs.
	BillRefuse BillPolicy = "refuse"
	// BillServe serves the request, and counts the amount of the request as at risk,
	// because it may never be billed.
	BillServe BillPolicy = "serve"
)

// Workspace is a customer: the versions of models that the customer may use, and the
// customer's share of the capacity.
type Workspace struct {
	ID      contract.WorkspaceID
	KeyHash KeyHash
	// AllowedVersions is the set of versions that the workspace may use. It is never empty.
	AllowedVersions map[contract.VersionID]bool
	// Weight is the workspace's weight relative to the other workspaces when
	// requests compete for capacity. Zero means 1.
	Weight int
	// MinQuality is the minimum fraction of good answers that the workspace accepts
	// from a cascade, from 0 to 1.
	MinQuality float64
	// BillPolicy is what a VM does with a request whose bill record cannot be stored.
	// Empty means BillRefuse.
	BillPolicy BillPolicy
}

// Model declares a model, its prices, and the version that serves it outside a rollout.
type Model struct {
	ID             contract.ModelID
	ServingVersion contract.VersionID
	// InputPrice and OutputPrice are the prices of a million input and output tokens.
	InputPrice, OutputPrice contract.PricePerMillion
}

// VersionState determines which requests a version may serve.
type VersionState string

// The states of a version. A version normally passes through them in this order, and
// never returns from Withdrawn to an earlier state.
const (
	// Serving versions accept new sessions and requests.
	Serving VersionState = "serving"
	// Draining versions continue their open sessions and accept no new sessions.
	Draining VersionState = "draining"
	// Withdrawn versions never accept new work again.
	Withdrawn VersionState = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	ID    contract.VersionID
	State VersionState
	// ServeWithoutUpdate is how long a VM may continue to give the version new work
	// after its last configuration update from the platform. Zero means
	// DefaultServeWithoutUpdate.
	ServeWithoutUpdate time.Duration
}

// MaxServeWithoutUpdate is the longest time that a version may be served without a
// configuration update. Because of this bound, only changes more recent than
// MaxServeWithoutUpdate have to be read to compute when a withdrawal is in force on every VM.
const MaxServeWithoutUpdate = 48 * time.Hour

// DefaultServeWithoutUpdate applies to a version that sets no ServeWithoutUpdate. It bounds
// how long a data centre from which the platform is unreachable keeps serving, and
// how long a withdrawal may stay pending.
const DefaultServeWithoutUpdate = 2 * time.Minute

// Cascade is a list of models. A request is sent to a cheaper model first, and to a
// more expensive model only if the answer is poor.
type Cascade struct {
	Name string
	// Models has at least two models, ordered by cost, the cheapest model first.
	Models []contract.ModelID
}

// Rollout is the plan for moving a model from one version to another.
type Rollout struct {
	Model contract.ModelID
	From  contract.VersionID
	To    contract.VersionID
	// Steps are the rising percentages of new sessions that the new version gets, one
	// percentage for each step of the rollout.
	Steps []float64
	// GoodRate and BadRate are the rates of bad answers that the sequential test
	// distinguishes: a version at GoodRate passes, and a version at BadRate is halted.
	GoodRate, BadRate float64
	// FalseAlarmProbability is the accepted probability of halting a good version.
	FalseAlarmProbability float64
	// MissProbability is the accepted probability of passing a bad version.
	MissProbability float64
	// RatingTimeout is how long no rating of the new version may arrive
	// before the rollout is halted.
	RatingTimeout time.Duration
}

// RolloutState is the state of a rollout.
type RolloutState string

// The states of a rollout. Halted and Done are final.
const (
	Ramping RolloutState = "ramping"
	Halted  RolloutState = "halted"
	Done    RolloutState = "done"
)

// Progress is the current step and state of a rollout. Only the system writes
// the progress; an operator's file must not contain any.
type Progress struct {
	Model contract.ModelID
	To    contract.VersionID
	Step  int
	State RolloutState
}

// PoolKind states whether a pool holds model engines or plain services.
type PoolKind string

// The kinds of pools.
const (
	EnginePool  PoolKind = "engine"
	ServicePool PoolKind = "service"
)

// FencingMode is how a pool's engines treat an order that carries an outdated fencing token.
type FencingMode string

// The fencing modes. Engines refuse orders with an outdated fencing token if fencing is
// enforced, and otherwise do not check the token.
const (
	FencingEnforced FencingMode = "refuses"
	FencingIgnored  FencingMode = "ignores"
)

// Pool is a set of interchangeable upstreams in one data centre.
type Pool struct {
	ID         contract.PoolID
	Kind       PoolKind
	DataCentre contract.DataCentreID
	Upstreams  []Upstream
	// Fencing is how the pool's engines treat an outdated fencing token. Empty
	// means FencingIgnored, which is the safe assumption.
	Fencing FencingMode
	// Slots is how many requests one upstream processes concurrently. Zero means 8.
	Slots int
	// MaxConnections is how many concurrent requests this VM may have at one
	// upstream. Zero means no limit.
	MaxConnections int
}

// DefaultSlots is the number of slots per upstream of a pool without the setting.
const DefaultSlots = 8

// Upstream is one back end of a pool.
type Upstream struct {
	ID contract.UpstreamID
	// URL is the base URL, such as "http://10.0.0.5:8000".
	URL string
}

// Service is a plain HTTP service without a model, served by pools of kind "service".
type Service struct {
	ID    contract.ServiceID
	Pools []contract.PoolID
	// NotRepeatable lists the calls that must run at most once.
	// A VM does not retry such a call after a failure.
	NotRepeatable []CallPattern
	// Price is the price of one call, in millionths
	// of the currency unit. Zero means free of charge.
	Price contract.Money
}

// CallPattern matches calls by method and path. A path that ends in "*" matches
// every path with that prefix.
type CallPattern struct {
	Method string
	Path   string
}

// WorkspaceByKeyHash returns the workspace whose API key has hash h.
func (c *Config) WorkspaceByKeyHash(h KeyHash) (*Workspace, bool) {
	w, ok := c.workspaceByKeyHash[h]
	return w, ok
}

// ServeWithoutUpdate returns how long v may be served after the last configuration
// update from the platform.
func (c *Config) ServeWithoutUpdate(v contract.VersionID) time.Duration {
	version, ok := c.Versions[v]
	if !ok || version.ServeWithoutUpdate == 0 {
		return DefaultServeWithoutUpdate
	}
	return version.ServeWithoutUpdate
}

// LongestServeWithoutUpdate returns the maximum of ServeWithoutUpdate over all
// versions. A VM that does not receive the next change stops acting on this
// configuration within LongestServeWithoutUpdate.
func (c *Config) LongestServeWithoutUpdate() time.Duration {
	longest := time.Duration(0)
	for id := range c.Versions {
		longest = max(longest, c.ServeWithoutUpdate(id))
	}
	return longest
}
