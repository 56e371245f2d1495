// Package permit decides whether a request may start on a model version now.
// The package does no I/O and reads no clock: the caller passes the configuration,
// its age and the current time.
//
// The package guarantees three things: a request runs only on a version that its workspace allows,
// a withdrawn version receives no new work, and a session keeps its version.
// The permission is checked again for each attempt, immediately before bytes are sent.
// The check therefore also covers changes made while a request waits or is retried.
package permit

import (
	"fmt"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// RequestKind distinguishes requests that start new work from those that continue a session.
type RequestKind uint8

// The kinds of requests.
const (
	// NewWork is a request outside a session, or the first request of a session.
	NewWork RequestKind = iota
	// InSession is a later request of a session.
	InSession
)

// Snapshot is the information on which a VM bases its decision.
type Snapshot struct {
	Config *config.Config
	// FreshAt is the last time at which Config was known to be the platform's newest configuration.
	FreshAt time.Time
	// Halted holds versions that are halted on this VM although Config may still list them as serving. A halt
	// can only remove a permission, never grant one.
	Halted map[contract.VersionID]bool
}

// NotAfter returns when the permission to give version v new work expires.
// The permission's time counts from FreshAt, when the configuration was last known to be the
// newest. A VM that was paused or disconnected past the expiry finds its permission expired when it
// checks again.
func (s Snapshot) NotAfter(v contract.VersionID) time.Time {
	if s.FreshAt.IsZero() {
		return time.Time{}
	}
	return s.FreshAt.Add(s.Config.ServeWithoutUpdate(v))
}

// staleConfigRetryAfter is the Retry-After sent when the VM's configuration is too old to serve a version.
const staleConfigRetryAfter = 2 * time.Second

// Check returns nil if workspace w may start work on version id now, and a refusal otherwise. The outcome of the
// refusal is "not run", because Check is called before anything is sent to an upstream.
func Check(s Snapshot, w *config.Workspace, id contract.VersionID, kind RequestKind, now time.Time) *contract.Refusal {
	if !w.AllowedVersions[id] {
		return newRefusal(contract.RefusedVersionNotAllowed, 0, "workspace %s may not use %s", w.ID, id)
	}
	version, ok := s.Config.Versions[id]
	if !ok {
		return newRefusal(contract.RefusedVersionNotAllowed, 0, "version %s is not declared", id)
	}
	switch {
	case version.State == config.Withdrawn:
		return newRefusal(contract.RefusedVersionWithdrawn, 0, "version %s is withdrawn", id)
	case s.Halted[id]:
		return newRefusal(contract.RefusedVersionWithdrawn, 0, "version %s is halted", id)
	case version.State == config.Draining && kind == NewWork:
		return newRefusal(contract.RefusedVersionWithdrawn, 0, "version %s takes no new sessions", id)
	}
	if !now.Before(s.NotAfter(id)) {
		return newRefusal(contract.RefusedStaleConfiguration, staleConfigRetryAfter,
			"no word from the platform for longer than %s allows, %v", id, s.Config.ServeWithoutUpdate(id))
	}
	return nil
}

// newRefusal returns a refusal of the permission check. The formatted detail is sent to the caller.
func newRefusal(kind contract.RefusalKind, retryAfter time.Duration, format string, args ...any) *contract.Refusal {
	return &contract.Refusal{
		Kind: kind, Outcome: contract.OutcomeNotRun, Step: contract.StepPermit,
		Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter,
	}
}
