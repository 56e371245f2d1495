package settings

import (
	"cmp"
	"time"

	"woaddoor/config"
)

// Duties is what one VM does for all, by calls to the platform. The zero value is nothing.
type Duties struct {
	// Address is the TCP address that takes the calls; empty where there are none.
	Address string
	// Names are what is to be done, in the platform's words.
	Names []string
	// Lease is how long a VM holds on to it without a word to the store. One that is told as
	// shorter than leastLease is taken for that: a longer lease breaks no promise.
	Lease time.Duration
	// UsageWindow is the length of a window of usage, UsageLate how long after its end a
	// report is due.
	UsageWindow, UsageLate time.Duration
}

// Keys of [duties].
const (
	keyLease       = "lease"
	keyUsageWindow = "usage-window"
	keyUsageLate   = "usage-late"
)

// Defaults and bounds of Duties.
const (
	defaultLease       = 3 * time.Second
	defaultUsageWindow = 5 * time.Second
	defaultUsageLate   = 10 * time.Second
	// leastLease leaves a third of the lease for a call and a third for a renewal.
	leastLease = time.Second
)

func readDuties(v *VM, r *config.Reader) {
	if len(r.Keys()) == 0 {
		return
	}
	v.Duties = Duties{
		Address: address(r, "address"), Names: r.List("names"),
		Lease:       cmp.Or(r.Duration(keyLease, 0), defaultLease),
		UsageWindow: cmp.Or(r.Duration(keyUsageWindow, 0), defaultUsageWindow),
		UsageLate:   cmp.Or(r.Duration(keyUsageLate, 0), defaultUsageLate),
	}
	v.Duties.Lease = max(v.Duties.Lease, leastLease)
	if d := v.Duties; d.UsageLate < d.Lease {
		r.Fault(keyUsageLate, "is %v: expected the lease of %v at least, during which nobody may report", d.UsageLate, d.Lease)
	}
}
