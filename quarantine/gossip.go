package quarantine

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// Update is a gossip update about one request content. The times in an Update are sent as ages,
// because the clocks of VMs differ.
type Update struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	About       Source      `cbor:"2,keyasint"`
	Epoch       uint32      `cbor:"3,keyasint,omitempty"`
	// Quarantined is true if the content is quarantined.
	Quarantined bool          `cbor:"4,keyasint,omitempty"`
	Crashes     []CrashUpdate `cbor:"5,keyasint,omitempty"`
	// WorksAge is the time since the service first answered another request after the newest crash; 0 if it has not.
	WorksAge time.Duration `cbor:"6,keyasint,omitempty"`
}

// CrashUpdate is an upstream crash in a gossip update.
type CrashUpdate struct {
	Instance contract.UpstreamInstance `cbor:"1,keyasint"`
	SentAge  time.Duration             `cbor:"2,keyasint"`
	BrokeAge time.Duration             `cbor:"3,keyasint"`
	Content  uint64                    `cbor:"4,keyasint,omitempty"`
}

// Updates returns the updates for the next gossip message: request contents that changed recently,
// and quarantined contents that are not in the platform's object store yet.
// Contents with the most crashes come first.
func (t *Table) Updates(now time.Time) []Update {
	var records []*Record
	for p, c := range t.gossiping {
		if now.Sub(c.changedAt) < c.gossipTTL() || c.Quarantined && !c.inStore {
			records = append(records, c)
			continue
		}
		delete(t.gossiping, p)
	}
	slices.SortFunc(records, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(b.gossipRank(), a.gossipRank()), b.changedAt.Truncate(singleCrashSpan).Compare(a.changedAt.Truncate(singleCrashSpan)),
			cmp.Compare(b.longestRun(), a.longestRun()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	out := make([]Update, 0, min(len(records), maxUpdates))
	singles := make(map[bool]int) // by whether the record is about a part
	for _, c := range records {
		if len(out) == maxUpdates {
			break
		}
		if len(c.Crashes) == 1 && !c.Quarantined {
			singles[c.IsPart()]++
			if singles[c.IsPart()] > maxSingleCrashUpdates {
				continue
			}
		}
		out = append(out, c.update(now))
	}
	return out
}

// gossipRank returns the importance of a record in a gossip message: quarantined ones come first,
// then those with the most crashes. An urgent release comes before two crashes.
func (c *Record) gossipRank() int {
	switch {
	case c.Quarantined:
		return 2*maxCrashesKept + 1
	case c.clearedUrgent:
		return 2*2 + 1
	}
	return 2 * len(c.Crashes)
}

// singleCrashSpan is the time within which changes count as equally new in a gossip message.
const singleCrashSpan = 100 * time.Millisecond

// longestRun returns how long a request with the record's content or part ran at most until its upstream
// crashed. Of the requests that ran on an upstream, the one that it was about to answer has run longest,
// and those that were sent last wait behind it.
func (c *Record) longestRun() time.Duration {
	var longest time.Duration
	for _, e := range c.Crashes {
		longest = max(longest, e.ran())
	}
	return longest
}

// Urgent reports whether a change must be sent to other VMs at once instead of with the
// next periodic message. Contents and parts with a single crash are not urgent: most of them, about
// a dozen per crash, merely ran on the upstream that crashed. For contents, crashes at the same time
// are one.
func (c *Record) Urgent() bool {
	if c.Quarantined || c.clearedUrgent {
		return true
	}
	if c.IsPart() {
		return len(c.Crashes) >= 2
	}
	return c.countTimes() >= 2
}

// gossipTTL returns how long gossip messages repeat the last change of the record.
func (c *Record) gossipTTL() time.Duration {
	if len(c.Crashes) == 1 && !c.Quarantined {
		return singleCrashGossipTTL
	}
	return gossipTTL
}

// update returns the gossip update about the record.
func (c *Record) update(now time.Time) Update {
	out := Update{Fingerprint: c.Fingerprint, About: c.Source, Epoch: c.Epoch, Quarantined: c.Quarantined}
	if c.serviceWorks() {
		out.WorksAge = max(now.Sub(c.worksSince), 1)
	}
	for _, e := range c.trimmed(c.Crashes, maxCrashesKept) {
		out.Crashes = append(out.Crashes, CrashUpdate{e.UpstreamInstance, now.Sub(e.SentAt), now.Sub(e.BrokenAt), e.Content})
	}
	return out
}

// Merge merges the updates from another VM and returns the records that changed.
func (t *Table) Merge(updates []Update, now time.Time) []*Record {
	var changed []*Record
	for _, u := range updates[:min(len(updates), maxUpdates)] {
		other := Record{Fingerprint: u.Fingerprint, Source: u.About, Epoch: u.Epoch, Quarantined: u.Quarantined}
		for _, e := range u.Crashes[:min(len(u.Crashes), maxCrashesKept)] {
			other.Crashes = append(other.Crashes, Crash{e.Instance, now.Add(-e.SentAge), now.Add(-e.BrokeAge), e.Content})
		}
		if u.WorksAge > 0 {
			other.worksSince = now.Add(-u.WorksAge)
		}
		other, released := t.contradict(other, now)
		if t.merge(other, now) || released {
			c := t.records[u.Fingerprint]
			if released {
				c.clearedUrgent = true
				t.markChanged(c, now)
			}
			changed = append(changed, c)
		}
	}
	return changed
}
