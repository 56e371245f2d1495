package quarantine

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// Told is a gossip update about one request content. Its times are sent as ages because the
// clocks of VMs differ.
type Told struct {
	Print Print     `cbor:"1,keyasint"`
	About About     `cbor:"2,keyasint"`
	Epoch uint32    `cbor:"3,keyasint,omitempty"`
	Held  bool      `cbor:"4,keyasint,omitempty"`
	Ends  []ToldEnd `cbor:"5,keyasint,omitempty"`
}

// ToldEnd is an upstream crash in a gossip update.
type ToldEnd struct {
	Life     contract.Life `cbor:"1,keyasint"`
	SentAge  time.Duration `cbor:"2,keyasint"`
	BrokeAge time.Duration `cbor:"3,keyasint"`
}

// Told returns the updates for the next gossip message: contents that changed recently, and
// held contents that are not in the store yet. Contents with the most crashes come first.
func (t *Table) Told(now time.Time) []Told {
	var records []*Case
	for p, c := range t.gossiping {
		if now.Sub(c.changedAt) < c.gossipTTL() || c.Held && !c.inStore {
			records = append(records, c)
			continue
		}
		delete(t.gossiping, p)
	}
	slices.SortFunc(records, func(a, b *Case) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), b.changedAt.Compare(a.changedAt), slices.Compare(a.Print[:], b.Print[:]))
	})
	out := make([]Told, 0, min(len(records), maxUpdates))
	singles := 0
	for _, c := range records[:min(len(records), maxUpdates)] {
		if len(c.Ends) == 1 {
			singles++
		}
		if singles <= maxSingleCrashUpdates {
			out = append(out, c.update(now))
		}
	}
	return out
}

// Urgent reports whether a change must be sent to other VMs at once instead of with the
// next periodic message. Contents with a single crash are not urgent: most of them merely
// ran on the crashed upstream, about a dozen per crash.
func (c *Case) Urgent() bool { return c.Held || countSuccessive(c.Ends) >= Limit-1 }

func (c *Case) gossipTTL() time.Duration {
	if len(c.Ends) == 1 && !c.Held {
		return singleCrashGossipTTL
	}
	return gossipTTL
}

func (c *Case) update(now time.Time) Told {
	out := Told{Print: c.Print, About: c.About, Epoch: c.Epoch, Held: c.Held}
	for _, e := range c.Ends {
		out.Ends = append(out.Ends, ToldEnd{e.Life, now.Sub(e.Sent), now.Sub(e.Broke)})
	}
	return out
}

// Hear merges the updates from another VM and returns the records that changed.
func (t *Table) Hear(updates []Told, now time.Time) []*Case {
	var changed []*Case
	for _, u := range updates[:min(len(updates), maxUpdates)] {
		other := Case{Print: u.Print, About: u.About, Epoch: u.Epoch, Held: u.Held}
		for _, e := range u.Ends[:min(len(u.Ends), maxCrashesKept)] {
			other.Ends = append(other.Ends, End{e.Life, now.Add(-e.SentAge), now.Add(-e.BrokeAge)})
		}
		if t.merge(other, now) {
			changed = append(changed, t.records[u.Print])
		}
	}
	return changed
}
