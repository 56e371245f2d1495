package upstream

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// TakeLimit takes in what the answer of a life says of its limit, to a request that was
// sent at a time.
func (t *Table) TakeLimit(l contract.Life, said Limit, sent, now time.Time) LimitNews {
	h := t.said[l]
	if said.Word != LimitNamed && (h == nil || h.limit.version == 0) {
		return LimitNews{}
	}
	h = t.hold(l, now)
	n := h.limit.takeWord(said, sent, now)
	n.Known = h.limit.known(l)
	if n.Changed {
		t.noteLimited()
	}
	return n
}

// HearLimit takes in what another VM knows of a life's limit, of an answer just heard if it is
// fresh. It returns what held before, and whether that has changed.
func (t *Table) HearLimit(told LimitKnown, fresh bool, now time.Time) (before Limit, changed bool) {
	h := t.hold(told.Life, now)
	before = h.limit.Limit
	if changed = h.limit.merge(told, fresh, now); changed {
		t.noteLimited()
	}
	return before, changed
}

func (l *limit) known(of contract.Life) LimitKnown { return LimitKnown{of, l.Limit, l.version} }

// limited tells whether a life has named a limit that holds; nil has said nothing.
func (h *heldTo) limited() bool { return h != nil && h.limit.Word == LimitNamed }

// noteLimited looks anew for the listed upstreams that have named a limit.
func (t *Table) noteLimited() {
	t.limited = t.limited[:0]
	for _, s := range t.ordered {
		if s.said.limited() {
			t.limited = append(t.limited, s)
		}
	}
}

// Limited tells whether a life has named a limit that holds.
func (t *Table) Limited(l contract.Life) bool { return t.said[l].limited() }

// CountLimited returns how many of the listed upstreams have named a limit that holds.
func (t *Table) CountLimited() int { return len(t.limited) }

// Limits returns what is known of the limits of listed upstreams, those that hold first:
// others are there for VMs that do not know yet that they are over. There are not more
// than most.
func (t *Table) Limits(most int) []LimitKnown {
	var out, over []LimitKnown
	for _, s := range t.ordered {
		switch {
		case s.said.limited():
			out = append(out, s.said.limit.known(t.Life(s.upstream.ID)))
		case s.said != nil && s.said.limit.version > 0:
			over = append(over, s.said.limit.known(t.Life(s.upstream.ID)))
		}
	}
	out = append(out, over...)
	return out[:min(most, len(out))]
}

// LimitsDigest is the same for two VMs that know the same limits to hold; zero for none.
func (t *Table) LimitsDigest() uint64 {
	sum := uint64(0)
	for _, s := range t.limited {
		b := []byte(s.upstream.ID)
		b = binary.BigEndian.AppendUint64(b, uint64(s.born))
		b = binary.BigEndian.AppendUint64(b, s.said.limit.version)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(s.said.limit.PerSecond))
		sum += xxhash.Sum64(b)
	}
	return sum
}

// When VMs ask a limited upstream that do not own it.
const (
	// quietNear is after how long without an answer that names the limit another VM of the
	// data centre asks: its owners may have no callers. The next does so stepAsk later.
	quietNear = 5 * time.Second
	// quietFar is the same for other data centres: this one may have no VM left.
	quietFar = 25 * time.Second
	stepAsk  = 2 * time.Second
)

// shareAt returns the part of an upstream's limit that this VM has, and for how long it has
// none yet.
func (t *Table) shareAt(s *state, now time.Time) (share, time.Duration) {
	l := &s.said.limit
	owners, part := shareOf(l.PerSecond, len(t.owned.VMs))
	near := s.pool.DataCentre == t.owned.dc
	place := t.placeAt(s)
	if t.owned.Unsure {
		part = asker()
	}
	if near && place < owners {
		return part, 0
	}
	after := quietNear + time.Duration(place-owners)*stepAsk
	if !near {
		after = quietFar + time.Duration(place*len(t.centres)+t.centreOrder())*stepAsk
	}
	return asker(), max(l.heard.Add(after).Sub(now), 0)
}

// centreOrder returns the place of this VM's data centre among those with upstreams.
func (t *Table) centreOrder() int {
	n := 0
	for dc := range t.centres {
		if dc < t.owned.dc {
			n++
		}
	}
	return n
}

// within tells whether an upstream may get one more request of this VM now, as far as the
// limit goes that it has named.
func (t *Table) within(s *state, now time.Time) bool {
	if !s.said.limited() {
		return true
	}
	if len(t.owned.VMs) == 0 {
		return false // who shares the limit is not known yet
	}
	part, none := t.shareAt(s, now)
	return none == 0 && s.said.limit.pace.in(part, now) == 0
}

// beyondLimit is what a request costs an upstream that has all that it takes by its limit, and
// bears it: it is in need, and answers better than one that would be late.
const beyondLimit = 0.2

// limitCost returns what one more request of this VM costs an upstream by its limit.
func (t *Table) limitCost(s *state, now time.Time) float64 {
	if !s.said.limited() {
		return 0
	}
	if part, _ := t.shareAt(s, now); s.said.limit.pace.beyond(part, now) {
		return beyondLimit
	}
	return 0
}

// claim takes one request out of this VM's part of a limit.
func (t *Table) claim(s *state, now time.Time) {
	if !s.said.limited() {
		return
	}
	part, _ := t.shareAt(s, now)
	s.said.limit.pace.use(part, now)
	s.said.limit.heard = now
}

// Claim takes one request out of this VM's part of a limit that was named after the request
// had been given its upstream, and tells whether there was one.
func (t *Table) Claim(l contract.Life, now time.Time) bool {
	s := t.states[l.Upstream]
	if s == nil || s.born != l.Born || !t.within(s, now) {
		return false
	}
	t.claim(s, now)
	return true
}

// GiveBack takes back a claim whose request was not sent.
func (t *Table) GiveBack(l contract.Life, now time.Time) {
	if s := t.states[l.Upstream]; s != nil && s.born == l.Born && s.said.limited() {
		part, _ := t.shareAt(s, now)
		s.said.limit.pace.giveBack(part)
	}
}

// unasked returns an upstream whose limit nobody has heard of for askEvery, and that this VM
// may send a request to; nil for none. It goes before any cheaper one: only an answer tells
// that the need is over, and until then all but a few requests go elsewhere.
func (t *Table) unasked(q Query, now time.Time) *state {
	i := slices.IndexFunc(t.limited, func(s *state) bool {
		return now.Sub(s.said.limit.heard) >= askEvery && t.usable(s, q.Version, now) && q.allows(s)
	})
	if i < 0 {
		return nil
	}
	return t.limited[i]
}
