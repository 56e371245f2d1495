package scaling

import "time"

// Work is what the upstreams of a service have to do, as one VM or several see it.
type Work struct {
	// Reading is for how many seconds of each second engines read prompts.
	Reading float64 `cbor:"1,keyasint,omitempty"`
	// Places are those that requests take.
	Places float64 `cbor:"2,keyasint,omitempty"`
}

// Plus returns the work of both.
func (w Work) Plus(other Work) Work {
	return Work{w.Reading + other.Reading, w.Places + other.Places}
}

// Shares of an upstream that are to be busy at the most: beyond these, prompts wait for each
// other, and each token takes noticeably longer.
const (
	readingShare = 0.5
	placesShare  = 0.5
)

// Need returns how many upstreams the work keeps busy at the most that each is to have.
func (w Work) Need(slots int) float64 {
	need := w.Reading / readingShare
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
