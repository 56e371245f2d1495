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
	// Lease is how long a VM holds on to it without a word to the store.
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
	d := v.Duties
	if d.Lease < leastLease {
		r.Fault(keyLease, "is %v: expected %v at least", d.Lease, leastLease)
	}
	if d.UsageLate <= 2*d.Lease {
		r.Fault(keyUsageLate, "is %v: expected over twice the lease of %v, which a change of hands takes", d.UsageLate, d.Lease)
	}
}
