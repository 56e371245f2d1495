package upstream

import "time"

// share is the part of an upstream's limit that one VM may use.
type share struct {
	// every is the time between two requests within the limit, and burst how many may come
	// together after a pause.
	every time.Duration
	burst int
	// most is how many requests may go in any limitWindow, and mostEvery the time between two
	// of them: more than the limit, and within what the upstream bears.
	most      int
	mostEvery time.Duration
}

// What an upstream that names a limit bears, by the contract with the platform: in any 4 s
// bearsTimes what the limit allows, and bearsMore requests.
const (
	bearsIn    = 4 * time.Second
	bearsTimes = 1.5
	bearsMore  = 5
)

// Parts of limits.
const (
	// askEvery is how often an upstream is asked at least that takes less, or nothing: only
	// an answer tells that its need is over.
	askEvery = time.Second
	// limitBurst is how many requests an owner may send together.
	limitBurst = 2
	// limitWindow is the time in which sends are counted: requests may come closer together
	// than they were sent, one having waited for a connection. Sends under a higher limit
	// count until they leave it.
	limitWindow = bearsIn + 400*time.Millisecond
	// bearsPart is the part of what an upstream bears that owners plan to send, but for
	// askedBeside requests: the rest is for a change of owners, and for VMs that ask since
	// they hear of none.
	bearsPart   = 0.9
	askedBeside = 1
)

// shareOf returns how many owners a limit has among a number of VMs, and the part of each:
// as many as may send one request a second, so that the loss of one costs little.
func shareOf(perSecond float64, vms int) (owners int, s share) {
	sent := asked(perSecond)
	owners = max(1, min(vms, int(sent)))
	s = share{every: time.Duration(float64(owners) / sent * float64(time.Second)), burst: limitBurst}
	if perSecond < sent {
		s.burst = 1 // it is asked, and wants no more than that
	}
	borne := bearsPart*(bearsTimes*perSecond*bearsIn.Seconds()+bearsMore) - askedBeside
	s.most = max(int(borne/float64(owners)), asker().most)
	s.mostEvery = limitWindow / time.Duration(s.most)
	return owners, s
}

// served returns how many requests a second an upstream with a limit gets at the most.
func served(perSecond float64) float64 {
	_, s := shareOf(perSecond, 1)
	return float64(s.most) / limitWindow.Seconds()
}

// asker returns the part of a VM that asks an upstream which it does not own, or that does
// not know the other owners yet.
func asker() share {
	return share{every: askEvery, burst: 1, most: int(limitWindow / askEvery), mostEvery: askEvery}
}

// asked returns how many requests a second an upstream gets that takes so many: one that
// takes next to nothing is asked all the same.
func asked(perSecond float64) float64 { return max(perSecond, 1/askEvery.Seconds()) }

// pace is what one VM has used of its share. The zero value is of one that has used
// nothing for long.
type pace struct {
	// from is when it began, with nothing saved.
	from time.Time
	// next and nextMost are when the share's limit and its most are used up to (GCRA's
	// theoretical arrival times).
	next, nextMost time.Time
	// sends are when requests were sent within limitWindow, in order.
	sends []time.Time
}

// in returns how long it takes until one more request fits what a share bears; zero for now.
func (p *pace) in(s share, now time.Time) time.Duration {
	p.drop(now)
	wait := max(saved(p.nextMost, s.mostEvery, s.burst).Sub(now), p.from.Add(s.mostEvery).Sub(now), 0)
	if over := len(p.sends) - s.most; over >= 0 {
		wait = max(wait, p.sends[over].Add(limitWindow).Sub(now))
	}
	return wait
}

// beyond tells whether one more request now is beyond the limit, though it is borne.
func (p *pace) beyond(s share, now time.Time) bool {
	return saved(p.next, s.every, s.burst).After(now)
}

// saved returns from when on one more request fits, of which some may come together.
func saved(next time.Time, every time.Duration, burst int) time.Time {
	return next.Add(-time.Duration(burst-1) * every)
}

// drop forgets sends that have left the window.
func (p *pace) drop(now time.Time) {
	for len(p.sends) > 0 && now.Sub(p.sends[0]) >= limitWindow {
		p.sends = p.sends[1:]
	}
}

// use notes a request.
func (p *pace) use(s share, now time.Time) {
	p.next = later(p.next, now).Add(s.every)
	p.nextMost = later(p.nextMost, now).Add(s.mostEvery)
	p.sends = append(p.sends, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// giveBack takes a request back that was not sent.
func (p *pace) giveBack(s share) {
	if len(p.sends) == 0 {
		return
	}
	p.next, p.nextMost = p.next.Add(-s.every), p.nextMost.Add(-s.mostEvery)
	p.sends = p.sends[:len(p.sends)-1]
}
