package upstream

import (
	"time"

	"woaddoor/contract"
)

// A brittle upstream fails if it has to reject more than a stated number of requests per second, of
// all VMs together, because they find no room. It may also let fewer requests wait than usual.
// No VM knows what the other VMs send at the same moment. Each VM therefore has at most its part of
// the slots of a brittle upstream in use, so that the sum finds room without waiting, and makes a
// pause after a rejection that is long enough for the rejections of all VMs to stay within the bound.

// Parameters of the requests to brittle upstreams.
const (
	// rejectionWindow is the window in which an upstream counts the requests that it rejects.
	rejectionWindow = time.Second
	// rejectionReserve is the factor by which the pauses after rejections are longer than needed:
	// the clocks and pauses of VMs are not aligned.
	rejectionReserve = 1.25
	// maxRejectionPause limits the pause after a rejection, also for an upstream that bears none.
	maxRejectionPause = 10 * time.Second
)

// SetVMs sets the number of VMs that send requests to the upstreams.
func (t *Table) SetVMs(n int) { t.vms = max(n, 1) }

// isBrittle reports whether an instance states that it is brittle. A nil receiver states nothing.
func (a *instanceNotices) isBrittle() bool { return a != nil && a.limit.Brittle == LimitStated }

// CountBrittle returns how many of the listed upstreams state that they are brittle.
func (t *Table) CountBrittle() int {
	n := 0
	for _, s := range t.bounded {
		if s.notices.isBrittle() {
			n++
		}
	}
	return n
}

// recordBrittleRejection begins the pause after a brittle upstream has rejected a request.
func (t *Table) recordBrittleRejection(s *state, now time.Time) {
	if s.notices.isBrittle() {
		s.notices.limit.pauseUntil = now.Add(rejectionPause(s.notices.limit.Rejections, t.roomOf(s).senders))
	}
}

// rejectionPause returns how long each of several senders sends nothing to an upstream that has rejected
// its request, if the upstream bears the given number of rejections per second.
func rejectionPause(perSecond float64, senders int) time.Duration {
	if perSecond <= 0 {
		return maxRejectionPause
	}
	pause := rejectionReserve * float64(max(senders, 1)) / perSecond * rejectionWindow.Seconds()
	return min(max(time.Duration(pause*float64(time.Second)), rejectionWindow), maxRejectionPause)
}

// withinRoom reports whether this VM may send one more request to an upstream now
// as far as its brittleness is concerned. A VM without a part of the upstream's slots
// sends one request when no answer has confirmed the brittleness for a while.
func (t *Table) withinRoom(s *state, now time.Time) bool {
	switch {
	case !s.notices.isBrittle():
		return true
	case now.Before(s.notices.limit.pauseUntil):
		return false
	}
	if share := t.roomShare(s, now); share > 0 {
		return s.slotsInUse(now) < share
	}
	return s.slotsInUse(now) == 0 && t.probeDelay(s, t.roomRank(s)-t.roomOf(s).localSenders, now) == 0
}

// RoomState is what this VM assumes about the room at an upstream.
type RoomState struct {
	// Brittle means that the upstream is known to be brittle. Share is how many requests this VM may
	// then have in flight there.
	Brittle         bool
	Share, InFlight int
	// Orphans is how many requests that this VM no longer waits for may use further slots.
	Orphans int
	// Senders is how many of the VMs may have a request in flight. LocalVMs is how many VMs this VM
	// knows in its own data centre. Incomplete means that there may be more.
	Senders, VMs, LocalVMs int
	Incomplete             bool
	// ListedFor is how long this VM has listed the instance.
	ListedFor time.Duration
}

// RoomState returns what this VM assumes about the room at an upstream.
func (t *Table) RoomState(id contract.UpstreamID, now time.Time) RoomState {
	s, ok := t.states[id]
	if !ok {
		return RoomState{}
	}
	state := RoomState{InFlight: s.inFlight, VMs: t.vms, LocalVMs: len(t.owners.VMs), Incomplete: t.owners.Incomplete, ListedFor: now.Sub(s.listedAt)}
	if s.notices.isBrittle() {
		state.Brittle, state.Share, state.Orphans, state.Senders = true, t.roomShare(s, now), len(s.liveOrphans(now)), t.roomOf(s).senders
	}
	return state
}

// shareGrowthDelay is how long a larger share is not used yet: the VMs that had the slots before may not
// know that they have lost them, and still have requests there.
const shareGrowthDelay = 2 * time.Second

// grant is the share of a brittle upstream's slots that this VM uses. It shrinks at once, and grows only
// after shareGrowthDelay.
type grant struct {
	set   bool
	share int
	// growsAt is when a larger share is used; zero if none is due.
	growsAt time.Time
}

// update sets the share that this VM is entitled to, and returns the share that it may use.
func (g *grant) update(entitled int, now time.Time) int {
	switch {
	case !g.set || entitled <= g.share:
		*g = grant{set: true, share: entitled}
	case g.growsAt.IsZero():
		g.growsAt = now.Add(shareGrowthDelay)
	case !now.Before(g.growsAt):
		*g = grant{set: true, share: entitled}
	}
	return g.share
}

// roomShare returns how many requests this VM may have in flight at a brittle upstream. A VM that does not
// know the other VMs of its data centre yet may have none, and one that may not know all of them one.
func (t *Table) roomShare(s *state, now time.Time) int {
	if len(t.owners.VMs) == 0 {
		return s.grant.update(0, now)
	}
	share := s.grant.update(t.dividedShare(s), now)
	if t.owners.Incomplete {
		share = min(share, 1)
	}
	return share
}
