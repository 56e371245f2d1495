package scaling

import "time"

// Work is what the upstreams of a service have to do, as one VM or several see it.
type Work struct {
	// Reading is for how many seconds of each second engines read prompts, Prompts how many
	// of them a second.
	Reading float64 `cbor:"1,keyasint,omitempty"`
	Prompts float64 `cbor:"3,keyasint,omitempty"`
	// Places are those that requests take.
	Places float64 `cbor:"2,keyasint,omitempty"`
}

// Plus returns the work of both.
func (w Work) Plus(other Work) Work {
	return Work{Reading: w.Reading + other.Reading, Prompts: w.Prompts + other.Prompts, Places: w.Places + other.Places}
}

// Shares of an upstream that are to be busy at the most.
const (
	// readingShare is that of its time where nothing is known of how long prompts may wait.
	readingShare = 0.5
	// placesShare is that of its places: each token takes longer the more run together.
	placesShare = 0.5
	// waitPart is the part of an objective that prompts wait for others in the mean, so that
	// those which wait several times as long are in time.
	waitPart = 8 // divided
)

// busyShare returns for which part of its time an upstream may read prompts, so that they
// wait no longer than they may: the mean wait in a queue with one server grows with
// share / (1 - share) of what one prompt takes.
func (w Work) busyShare(objective time.Duration) float64 {
	if w.Prompts <= 0 || objective <= 0 {
		return readingShare
	}
	takes := w.Reading / w.Prompts
	wait := objective.Seconds() / waitPart
	return wait / (wait + takes)
}

// Need returns how many upstreams, each with some places, the work asks for where answers are
// to begin within an objective.
func (w Work) Need(slots int, objective time.Duration) float64 {
	need := 0.0
	if w.Reading > 0 {
		need = w.Reading / w.busyShare(objective)
	}
	if slots > 0 {
		need = max(need, w.Places/(placesShare*float64(slots)))
	}
	return need
}

// peakFor is for how long a need counts after it has passed: load comes in waves, and what
// was given away takes seconds to come back.
const peakFor = time.Minute

// Peak is the largest need of late. The zero value is none.
type Peak struct {
	need float64
	at   time.Time
	// next is the largest need since, once half of the time has passed.
	next   float64
	nextAt time.Time
}

// Note takes in a need and returns the largest of late.
func (p *Peak) Note(need float64, now time.Time) float64 {
	if need >= p.need {
		p.need, p.at = need, now
		p.next, p.nextAt = 0, now
	}
	if now.Sub(p.at) > peakFor/2 && need >= p.next {
		p.next, p.nextAt = need, now
	}
	if now.Sub(p.at) > peakFor {
		p.need, p.at = p.next, p.nextAt
		p.next, p.nextAt = 0, now
	}
	return p.need
}
