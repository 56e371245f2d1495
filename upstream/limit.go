package upstream

import (
	"time"

	"woaddoor/contract"
)

// RateLimit is what an upstream states in an answer about the requests of all VMs together.
type RateLimit struct {
	Statement LimitStatement `cbor:"1,keyasint"`
	// PerSecond is how many requests per second the upstream accepts from all VMs together.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Brittle is LimitStated if the upstream fails when it has to reject, for want of room, more than
	// Rejections requests per second.
	Brittle    LimitStatement `cbor:"3,keyasint,omitempty"`
	Rejections float64        `cbor:"4,keyasint,omitempty"`
}

// statesAny reports whether the upstream states any bound on the requests of all VMs.
func (a RateLimit) statesAny() bool { return a.Statement == LimitStated || a.Brittle == LimitStated }

// withUnknownFrom returns the limit with the parts that an answer leaves unknown taken from before.
func (a RateLimit) withUnknownFrom(before RateLimit) RateLimit {
	if a.Statement == LimitUnknown {
		a.Statement, a.PerSecond = before.Statement, before.PerSecond
	}
	if a.Brittle == LimitUnknown {
		a.Brittle, a.Rejections = before.Brittle, before.Rejections
	}
	return a
}

// LimitStatement classifies what an answer states about a rate limit.
type LimitStatement uint8

const (
	// LimitUnknown means that the answer reveals nothing about a rate limit:
	// the answer is a refusal or a failure, or its header cannot be parsed.
	LimitUnknown LimitStatement = iota
	// LimitNone means that the upstream has no rate limit:
	// the upstream served a request and stated no limit.
	LimitNone
	// LimitStated means that the upstream stated a limit.
	LimitStated
)

// stricterThan reports whether the limit a is stricter than the limit b.
// Of two limits of the same version, the stricter limit applies.
func (a RateLimit) stricterThan(b RateLimit) bool {
	switch {
	case a.Statement != b.Statement:
		return a.Statement > b.Statement
	case a.PerSecond != b.PerSecond:
		return a.PerSecond < b.PerSecond
	case a.Brittle != b.Brittle:
		return a.Brittle > b.Brittle
	}
	return a.Rejections < b.Rejections
}

// LimitUpdate is what a VM knows about the rate limit of an instance, as exchanged between
// VMs. The limit applies to all VMs together.
type LimitUpdate struct {
	Instance contract.UpstreamInstance `cbor:"1,keyasint"`
	Limit    RateLimit                 `cbor:"2,keyasint"`
	// Version orders the limits of an instance, regardless of the order in which messages
	// arrive: a VM that learns a new limit from an answer assigns the next version.
	Version uint64 `cbor:"3,keyasint"`
	// Service is the service of the instance if its upstreams are brittle, and StatedAgo the time since
	// one of them last stated it to any VM.
	Service   contract.ServiceID `cbor:"4,keyasint,omitempty"`
	StatedAgo time.Duration      `cbor:"5,keyasint,omitempty"`
}

// limitState is the known rate limit of an instance. The zero value means no limit.
type limitState struct {
	RateLimit
	version uint64
	// learnedAt is when this VM learned the limit. An answer to a request that was sent before
	// learnedAt states no newer limit.
	learnedAt time.Time
	// confirmedAt is when an answer last stated the limit, to this VM or to a VM that reported
	// the limit, or when this VM last sent a request whose answer should state the limit.
	confirmedAt time.Time
	// reportedAt is when any VM last reported the limit within this data centre.
	// reportedRemoteAt is when this VM last reported the limit to all data centres.
	reportedAt, reportedRemoteAt time.Time
	limiter                      limiter
	// pauseUntil is the end of the pause of this VM after a brittle upstream has rejected a request.
	pauseUntil time.Time
}

// Intervals between reports of a rate limit to other VMs.
const (
	// localReportInterval is how often an unchanged limit is reported within the data centre.
	localReportInterval = 2 * time.Second
	// remoteReportInterval is how often an unchanged limit is reported to other data centres.
	// VMs there probe the upstream (send it a request to learn its limit) only if no VM of the
	// upstream's own data centre does.
	remoteReportInterval = 10 * time.Second
	// minChangeInterval is the minimum time between two changes of the rate limit that are
	// reported immediately: an upstream may state a different rate in each answer.
	minChangeInterval = 250 * time.Millisecond
)

// LimitChange is the effect of an answer on the known limit of an instance.
type LimitChange struct {
	Update LimitUpdate
	Before RateLimit
	// Changed means that a different limit applies. Report means that the limit should be
	// reported to other VMs. ReportRemote means that the limit should be reported to VMs of
	// other data centres too.
	Changed, Report, ReportRemote bool
}

// applyAnswer applies what an answer states about the rate limit.
// The request for that answer was sent at sentAt.
func (l *limitState) applyAnswer(answered RateLimit, sentAt, now time.Time) (change LimitChange) {
	if answered.Statement == LimitUnknown && answered.Brittle == LimitUnknown || sentAt.Before(l.learnedAt) {
		return LimitChange{}
	}
	answered = answered.withUnknownFrom(l.RateLimit)
	change.Before = l.RateLimit
	if answered != l.RateLimit {
		statementChanged := answered.Statement != l.Statement || answered.Brittle != l.Brittle
		l.set(answered, l.version+1, now)
		change.Changed = true
		change.ReportRemote = statementChanged || now.Sub(l.reportedAt) >= minChangeInterval
		change.Report = change.ReportRemote
	}
	if answered.statesAny() {
		l.confirmedAt = now
		change.ReportRemote = change.ReportRemote || now.Sub(l.reportedRemoteAt) >= remoteReportInterval
		change.Report = change.Report || change.ReportRemote || now.Sub(l.reportedAt) >= localReportInterval
	}
	l.recordReported(change.Report, change.ReportRemote, now)
	return change
}

// merge applies the limit that another VM knows, and reports whether the limit in force changed.
// The newer version of the limit applies; of two limits of one version, the stricter limit applies,
// whatever the order and number of messages. fresh means that the other VM has just received the
// limit in an answer.
func (l *limitState) merge(update LimitUpdate, fresh bool, now time.Time) (changed bool) {
	switch {
	case update.Version < l.version:
		return false
	case update.Version > l.version || update.Limit.stricterThan(l.RateLimit):
		changed = update.Limit != l.RateLimit
		l.set(update.Limit, update.Version, now)
	case update.Limit != l.RateLimit || !fresh:
		return false
	}
	l.confirmedAt = now
	l.recordReported(true, false, now)
	return changed
}

// set replaces the limit. If no limit was stated before, the limiter starts without unused requests
// for a burst.
func (l *limitState) set(next RateLimit, version uint64, now time.Time) {
	if l.Statement != LimitStated && next.Statement == LimitStated {
		l.limiter = limiter{startedAt: now}
	}
	l.RateLimit, l.version, l.learnedAt = next, version, now
}

// recordReported records that the limit is reported now.
// local means that the limit is reported to the VMs of this data centre,
// remote that it is reported to the VMs of all data centres.
func (l *limitState) recordReported(local, remote bool, now time.Time) {
	if local {
		l.reportedAt = now
	}
	if remote {
		l.reportedRemoteAt = now
	}
}
