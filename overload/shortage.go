package overload

import "time"

// Bounds of a shortage.
const (
	shortageBegins = 0.9 // use of a resource
	shortageEnds   = 0.6
	// shortageHolds is how long the use must stay below shortageEnds.
	shortageHolds = time.Second
)

// Shortage follows the times in which a VM is short of a resource, or turns connections away so as not to be.
type Shortage struct {
	// Resource is the one that was scarcest at the beginning, Began when it began, and Peak the highest
	// use of any resource since.
	Resource Resource
	Began    time.Time
	Peak     float64

	short   bool
	lowFrom time.Time // since when the use is below shortageEnds
}

// Event tells whether a shortage begins or ends.
type Event uint8

// The events.
const (
	NoEvent Event = iota
	Begins
	Ends
)

// Add adds the use at a moment, and whether connections are turned away.
func (s *Shortage) Add(u Use, turnsAway bool, now time.Time) Event {
	most, resource := u.Most()
	if !s.short {
		if most < shortageBegins && !turnsAway {
			return NoEvent
		}
		*s = Shortage{Resource: resource, Began: now, Peak: most, short: true, lowFrom: now}
		return Begins
	}
	s.Peak = max(s.Peak, most)
	if most >= shortageEnds || turnsAway {
		s.lowFrom = now
	}
	if now.Sub(s.lowFrom) < shortageHolds {
		return NoEvent
	}
	s.short = false
	return Ends
}

// Short reports whether the VM is short of a resource.
func (s *Shortage) Short() bool { return s.short }
