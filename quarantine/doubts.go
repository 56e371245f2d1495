package quarantine

import (
	"time"

	"woaddoor/contract"
)

// Suspect is a request whose connection broke off at an upstream that may have ended.
type Suspect struct {
	Print     Print
	Request   contract.RequestID
	Service   contract.ServiceID
	Workspace contract.WorkspaceID
	Route     string
	// Sent and Broke are when it was sent to the upstream and when its connection
	// broke off.
	Sent, Broke time.Time
}

// doubtFor is how long it stays open whether an upstream whose connections broke off
// has ended: one that starts again at once is listed anew, or under another id, within
// some heartbeats of a second.
const doubtFor = 5 * time.Second

// mostSuspects bounds the requests that are remembered of one life.
const mostSuspects = 256

// Doubts are the lives of upstreams whose connections broke off, until it is known
// whether they have ended. A connection that was reset alone, silence, a link that is
// cut and a machine without power all look the same at first: an upstream counts as
// ended only when its machine answers that nothing listens there, or when another life
// has its address. Its owner locks it.
type Doubts struct {
	lives map[contract.Life]*doubt
}

type doubt struct {
	address  string
	since    time.Time // of the newest broken connection
	ended    bool
	suspects []Suspect
}

// NewDoubts returns no doubts.
func NewDoubts() *Doubts { return &Doubts{lives: make(map[contract.Life]*doubt)} }

// Broke takes in that the connection of a request to a life broke off. It tells whether
// the life is to be tried now, and whether it is known to have ended already.
func (d *Doubts) Broke(l contract.Life, address string, s Suspect) (try, ended bool) {
	known := d.lives[l]
	if known == nil {
		known = &doubt{address: address}
		d.lives[l] = known
		try = true
	}
	known.since = s.Broke
	if known.ended {
		return false, true
	}
	if len(known.suspects) < mostSuspects {
		known.suspects = append(known.suspects, s)
	}
	return try, false
}

// Ended takes in that a life has ended, and returns the requests that ran there.
func (d *Doubts) Ended(l contract.Life) []Suspect {
	known := d.lives[l]
	if known == nil || known.ended {
		return nil
	}
	out := known.suspects
	known.ended, known.suspects = true, nil
	return out
}

// Replaced returns the doubted lives that have ended by the list: another life has the
// address.
func (d *Doubts) Replaced(at func(address string) (contract.Life, bool)) []contract.Life {
	var out []contract.Life
	for l, known := range d.lives {
		if known.ended {
			continue
		}
		if now, listed := at(known.address); listed && now != l {
			out = append(out, l)
		}
	}
	return out
}

// Any tells whether any life is doubted.
func (d *Doubts) Any() bool { return len(d.lives) > 0 }

// Expire drops what is too old to be settled.
func (d *Doubts) Expire(now time.Time) {
	for l, known := range d.lives {
		if now.Sub(known.since) > doubtFor {
			delete(d.lives, l)
		}
	}
}
