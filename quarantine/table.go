package quarantine

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// Limit is how many upstreams a content ends, one after the other, before it is held.
const Limit = 3

// What other VMs tell of an end seems later by its way here, some tens of milliseconds, so
// a request that was sent shortly after it seems to have been sent before.
const (
	// together is how far apart the ends are at least that count as two in spite of that:
	// upstreams that end at once, as all of a data centre, end of one cause.
	together = 100 * time.Millisecond
	// sentBefore is how much before an end a request may seem to have been sent.
	sentBefore = 300 * time.Millisecond
	// mostEnds bounds the ends that are remembered of a content, the newest ones.
	mostEnds = 8
)

// Bounds of a table.
const (
	// mostCases bounds the contents that are remembered: one that is evicted has to end
	// as many upstreams as a new one before it is held.
	mostCases = 4096
	// keepFor is how long a content is suspected that does not come again.
	keepFor = 10 * time.Minute
	// tellFor is how long a change is told with each word: some rounds of words, so that
	// one that was lost costs nothing. tellOnceFor is the same of a content under which
	// one upstream has ended: mostly others that ran there, a dozen for each end.
	tellFor     = 10 * time.Second
	tellOnceFor = 3 * time.Second
	// mostTold bounds the contents that one word tells, some 150 bytes each, and mostOnce
	// those of them under which one upstream has ended.
	mostTold = 24
	mostOnce = 8
)

// About says whose a content is, for operators.
type About struct {
	Service   contract.ServiceID   `cbor:"1,keyasint"`
	Workspace contract.WorkspaceID `cbor:"2,keyasint,omitempty"`
	Route     string               `cbor:"3,keyasint"`
	// By is the VM that saw the first end.
	By contract.VMID `cbor:"4,keyasint"`
}

// End is the end of an upstream under a request, by the clock of this VM.
type End struct {
	contract.Life
	Sent, Broke time.Time
}

// Case is what is known of one content.
type Case struct {
	Print Print
	About
	// Epoch counts how often the content was cleared: what was told before counts no
	// more.
	Epoch uint32
	// Ends are the newest of the upstreams that ended under it, oldest first.
	Ends []End
	// Held tells that it is sent to no upstream.
	Held bool

	changed time.Time
	// stored is the revision of the store's object, and listed tells that it is there.
	stored contract.Revision
	listed bool
	trials trials
}

// Table is what one VM knows of contents that end upstreams. Its owner locks it.
type Table struct {
	cases map[Print]*Case
	// telling are those of them that words may tell: a word is made for each leaf of a hub
	// twice a second, and the table may hold thousands.
	telling map[Print]*Case
	// held is how many of them are held, and listed how many the store holds.
	held, listed int
}

// NewTable returns a table that knows nothing.
func NewTable() *Table { return &Table{cases: make(map[Print]*Case), telling: make(map[Print]*Case)} }

// Empty tells whether no content is suspected: then no print has to be made.
func (t *Table) Empty() bool { return len(t.cases) == 0 }

// Held returns how many contents are held.
func (t *Table) Held() int { return t.held }

// Case returns what is known of a content, nil when that is nothing.
func (t *Table) Case(p Print) *Case { return t.cases[p] }

// End takes in that an upstream ended under a content, and tells whether that is news.
//
// Others ran there too, and each of them is suspected by one end. What parts the guilty
// from them is that it ends the next one as well: an end counts only when the request was
// sent there after the last one that counts. Upstreams that end together count as one, and
// what is answered is cleared.
func (t *Table) End(p Print, a About, e End, now time.Time) bool {
	return t.merge(Case{Print: p, About: a, Epoch: t.epoch(p), Ends: []End{e}}, now)
}

func (t *Table) epoch(p Print) uint32 {
	if c := t.cases[p]; c != nil {
		return c.Epoch
	}
	return 0
}

// Answered takes in that an upstream has run a content to its end and lives. It tells
// whether the content was suspected.
func (t *Table) Answered(p Print, now time.Time) bool {
	c := t.cases[p]
	if c == nil || len(c.Ends) == 0 && !c.Held {
		return false
	}
	t.clear(c, c.Epoch+1, now)
	return true
}

// clear drops all that speaks against a content.
func (t *Table) clear(c *Case, epoch uint32, now time.Time) {
	c.Epoch, c.Ends, c.trials = epoch, nil, trials{}
	t.touch(c, now)
	t.setHeld(c, false)
}

func (t *Table) setHeld(c *Case, held bool) {
	switch {
	case held && !c.Held:
		t.held++
	case !held && c.Held:
		t.held--
	}
	c.Held = held
}

func (t *Table) setListed(c *Case, listed bool) {
	switch {
	case listed && !c.listed:
		t.listed++
	case !listed && c.listed:
		t.listed--
	}
	c.listed = listed
}

// merge takes in what is known of a content elsewhere, and tells whether anything of it
// is news. Words come late, twice and in any order: a later epoch takes the place of an
// earlier one, within one the ends add up, and held stays held.
func (t *Table) merge(other Case, now time.Time) bool {
	c := t.cases[other.Print]
	if c == nil {
		if len(other.Ends) == 0 && !other.Held && other.Epoch == 0 {
			return false
		}
		t.makeRoom(now)
		c = &Case{Print: other.Print, About: other.About, Epoch: other.Epoch}
		t.cases[other.Print] = c
		t.touch(c, now)
	}
	if other.Epoch < c.Epoch {
		return false
	}
	news := other.Epoch > c.Epoch
	if news {
		t.clear(c, other.Epoch, now)
	}
	if c.Held && !news {
		return false // more ends change nothing
	}
	ends := union(c.Ends, other.Ends)
	held := c.Held || other.Held || successive(ends) >= Limit
	// Only what grows is news: which of many ends are the newest differs between VMs, and
	// they would tell each other without end.
	news = news || len(ends) > len(c.Ends) || held != c.Held
	c.Ends = ends
	t.setHeld(c, held)
	if news {
		t.touch(c, now)
	}
	return news
}

// touch notes that something has changed of a content, to be told.
func (t *Table) touch(c *Case, now time.Time) {
	c.changed = now
	t.telling[c.Print] = c
}

// union returns the newest ends of two lists, oldest first. One life ends once: of what
// several VMs tell of it the earliest is nearest to the truth, since words take time.
func union(a, b []End) []End {
	out := slices.Clone(a)
	for _, e := range b {
		i := slices.IndexFunc(out, func(o End) bool { return o.Life == e.Life })
		if i < 0 {
			out = append(out, e)
			continue
		}
		out[i].Sent, out[i].Broke = earlier(out[i].Sent, e.Sent), earlier(out[i].Broke, e.Broke)
	}
	slices.SortFunc(out, func(a, b End) int {
		return cmp.Or(a.Broke.Compare(b.Broke), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Born, b.Born))
	})
	return out[max(len(out)-mostEnds, 0):]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// successive returns how many ends follow one another.
func successive(ends []End) int {
	n := 0
	var last time.Time
	for _, e := range ends {
		sentAfter := !e.Sent.Before(last)
		apart := !e.Broke.Before(last.Add(together)) && !e.Sent.Before(last.Add(-sentBefore))
		if n == 0 || sentAfter || apart {
			n, last = n+1, e.Broke
		}
	}
	return n
}

// Ended returns how many upstreams ended under a content, one after the other.
func (t *Table) Ended(p Print) int {
	if c := t.cases[p]; c != nil {
		return successive(c.Ends)
	}
	return 0
}

// makeRoom drops what is old, and when the table is full what has changed longest ago:
// of what is not held, if there is any.
func (t *Table) makeRoom(now time.Time) {
	if len(t.cases) < mostCases {
		return
	}
	t.Expire(now)
	var oldest *Case
	for _, c := range t.cases {
		if oldest == nil || !c.Held && oldest.Held || c.Held == oldest.Held && c.changed.Before(oldest.changed) {
			oldest = c
		}
	}
	if len(t.cases) >= mostCases && oldest != nil {
		t.drop(oldest)
	}
}

// Expire drops contents that were suspected long ago and are not held.
func (t *Table) Expire(now time.Time) {
	for _, c := range t.cases {
		if !c.Held && !c.listed && now.Sub(c.changed) > keepFor {
			t.drop(c)
		}
	}
}

func (t *Table) drop(c *Case) {
	if c.Held {
		t.held--
	}
	t.setListed(c, false)
	delete(t.cases, c.Print)
	delete(t.telling, c.Print)
}
