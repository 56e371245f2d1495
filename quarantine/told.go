package quarantine

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// Told is what VMs tell each other of one content. Times are ages: clocks differ.
type Told struct {
	Print Print     `cbor:"1,keyasint"`
	About About     `cbor:"2,keyasint"`
	Epoch uint32    `cbor:"3,keyasint,omitempty"`
	Held  bool      `cbor:"4,keyasint,omitempty"`
	Ends  []ToldEnd `cbor:"5,keyasint,omitempty"`
}

// ToldEnd is an end as VMs tell each other.
type ToldEnd struct {
	Life  contract.Life `cbor:"1,keyasint"`
	Sent  time.Duration `cbor:"2,keyasint"`
	Broke time.Duration `cbor:"3,keyasint"`
}

// Told returns what is told with each word: what has changed of late, and what is held
// and not in the store yet; those that ended most first.
func (t *Table) Told(now time.Time) []Told {
	var cases []*Case
	for p, c := range t.telling {
		if now.Sub(c.changed) < c.tellFor() || c.Held && !c.listed {
			cases = append(cases, c)
			continue
		}
		delete(t.telling, p)
	}
	slices.SortFunc(cases, func(a, b *Case) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), b.changed.Compare(a.changed), slices.Compare(a.Print[:], b.Print[:]))
	})
	out := make([]Told, 0, min(len(cases), mostTold))
	once := 0
	for _, c := range cases[:min(len(cases), mostTold)] {
		if len(c.Ends) == 1 {
			once++
		}
		if once <= mostOnce {
			out = append(out, c.told(now))
		}
	}
	return out
}

// Urgent tells whether others are to hear of a content at once, and not with the next
// regular word: what one upstream has ended under are mostly others that ran there, a dozen
// for each end.
func (c *Case) Urgent() bool { return c.Held || successive(c.Ends) >= Limit-1 }

func (c *Case) tellFor() time.Duration {
	if len(c.Ends) == 1 && !c.Held {
		return tellOnceFor
	}
	return tellFor
}

func (c *Case) told(now time.Time) Told {
	out := Told{Print: c.Print, About: c.About, Epoch: c.Epoch, Held: c.Held}
	for _, e := range c.Ends {
		out.Ends = append(out.Ends, ToldEnd{e.Life, now.Sub(e.Sent), now.Sub(e.Broke)})
	}
	return out
}

// Hear takes in what another VM tells, and returns the contents of which something was
// news.
func (t *Table) Hear(told []Told, now time.Time) []*Case {
	var news []*Case
	for _, o := range told[:min(len(told), mostTold)] {
		other := Case{Print: o.Print, About: o.About, Epoch: o.Epoch, Held: o.Held}
		for _, e := range o.Ends[:min(len(o.Ends), mostEnds)] {
			other.Ends = append(other.Ends, End{e.Life, now.Add(-e.Sent), now.Add(-e.Broke)})
		}
		if t.merge(other, now) {
			news = append(news, t.cases[o.Print])
		}
	}
	return news
}
