package upstream

import "time"

// share is the part of an upstream's limit that one VM may use.
type share struct {
	// every is the time between two requests, and burst how many may come together after a
	// pause.
	every time.Duration
	burst int
}

// Parts of limits.
const (
	// askEvery is how often an upstream is asked at least that takes less, or nothing: only
	// an answer tells that its need is over.
	askEvery = time.Second
	// limitBurst is how many requests an owner may send together. Owners send the limit and
	// their bursts in a window, which is two bursts below what an upstream bears.
	limitBurst = 2
	// limitWindow is the time in which what comes to an upstream must fit its limit: sends
	// under a higher one count until they leave it.
	limitWindow = 4 * time.Second
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
	return owners, s
}

// asked returns how many requests a second an upstream gets that takes so many: one that
// takes next to nothing is asked all the same.
func asked(perSecond float64) float64 { return max(perSecond, 1/askEvery.Seconds()) }

// most returns how many requests fit into limitWindow.
func (s share) most() int { return int(limitWindow/max(s.every, time.Microsecond)) + s.burst }

// pace is what one VM has used of its share. The zero value is of one that has used
// nothing for long.
type pace struct {
	// from is when it began, with nothing saved.
	from time.Time
	// next is when the share is used up to (GCRA's theoretical arrival time).
	next time.Time
	// sends are when requests were sent within limitWindow, in order.
	sends []time.Time
}

// in returns how long it takes until one more request fits a share; zero for now.
func (p *pace) in(s share, now time.Time) time.Duration {
	p.drop(now)
	saved := time.Duration(s.burst-1) * s.every
	wait := max(p.next.Add(-saved).Sub(now), p.from.Add(s.every).Sub(now), 0)
	if over := len(p.sends) - s.most(); over >= 0 {
		wait = max(wait, p.sends[over].Add(limitWindow).Sub(now))
	}
	return wait
}

// drop forgets sends that have left the window.
func (p *pace) drop(now time.Time) {
	for len(p.sends) > 0 && now.Sub(p.sends[0]) >= limitWindow {
		p.sends = p.sends[1:]
	}
}

// use notes a request.
func (p *pace) use(s share, now time.Time) {
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(s.every)
	p.sends = append(p.sends, now)
}

// giveBack takes a request back that was not sent.
func (p *pace) giveBack(s share) {
	if len(p.sends) == 0 {
		return
	}
	p.next = p.next.Add(-s.every)
	p.sends = p.sends[:len(p.sends)-1]
}
