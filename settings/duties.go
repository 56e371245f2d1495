package settings

import (
	"cmp"
	"time"

	"woaddoor/config"
)

// Duties configures the duties that one VM, the holder of a lease, performs on
// behalf of all VMs by calls to the platform. The zero value means no duties.
type Duties struct {
	// Address is the TCP address of the platform that receives the calls. Empty means no duties.
	Address string
	// Names are the duties to perform, under the platform's names for them, such
	// as metering and autoscale.
	Names []string
	// Lease is how long a VM holds the lease without renewing the lease in the platform's
	// object store. A setting below minLease is raised to minLease,
	// because a longer lease breaks no guarantee.
	Lease time.Duration
	// UsageWindow is the length of a usage reporting window. UsageReportDeadline is
	// how long after the end of a window the report of the window is due.
	UsageWindow, UsageReportDeadline time.Duration
}

// Keys of the [duties] section.
const (
	keyLease               = "lease"
	keyUsageWindow         = "usage-window"
	keyUsageReportDeadline = "usage-late"
)

// Defaults and minimum values of Duties.
const (
	defaultLease               = 3 * time.Second
	defaultUsageWindow         = 5 * time.Second
	defaultUsageReportDeadline = 10 * time.Second
	// minLease is the minimum duration of the lease. One third of minLease is enough for a
	// call to the platform, and another third for a renewal of the lease.
	minLease = time.Second
)

// readDuties reads the [duties] section. An absent section leaves v.Duties zero.
func readDuties(v *VM, r *config.SectionReader) {
	if len(r.Keys()) == 0 {
		return
	}
	v.Duties = Duties{
		Address: readAddress(r, "address"), Names: r.List("names"),
		Lease:               cmp.Or(r.Duration(keyLease, 0), defaultLease),
		UsageWindow:         cmp.Or(r.Duration(keyUsageWindow, 0), defaultUsageWindow),
		UsageReportDeadline: cmp.Or(r.Duration(keyUsageReportDeadline, 0), defaultUsageReportDeadline),
	}
	v.Duties.Lease = max(v.Duties.Lease, minLease)
	if d := v.Duties; d.UsageReportDeadline < d.Lease {
		r.Fault(keyUsageReportDeadline, "is %v: expected at least the lease of %v, during which no VM may be able to report", d.UsageReportDeadline, d.Lease)
	}
}
