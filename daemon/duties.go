package daemon

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/leader"
	"woaddoor/lease"
	"woaddoor/platform"
	"woaddoor/route"
	"woaddoor/upstream"
	"woaddoor/usage"
	members "woaddoor/vm"
)

// dutiesLeaseName is the name of the lease whose holder acts on behalf of all VMs.
const dutiesLeaseName = "duties"

// dutyTimeoutDivisor is the duration of the lease divided by the timeout of a call to the
// platform. This timeout is shorter than the margin at the end of the lease in which the VM
// starts no call, so each call ends before the lease ends.
const dutyTimeoutDivisor = 4

// dutyTimeout is the timeout of a call to the platform on behalf of all VMs, and of the
// calls that renew the lease.
func (v *vmProcess) dutyTimeout() time.Duration { return v.settings.Duties.Lease / dutyTimeoutDivisor }

// buildDuties creates the client of the lease whose holder acts on behalf of all VMs, and
// the ledger that counts usage, if the deployment configures duties.
func (v *vmProcess) buildDuties(store *platform.Store, self members.Member) {
	d := v.settings.Duties
	if d.Address == "" {
		return
	}
	instance := contract.VMInstance{VM: self.VM, Incarnation: self.Incarnation}
	v.lease = leader.NewLeaseClient(&leader.LeaseClientOptions{
		Options: lease.Options{Self: instance, Duration: d.Lease},
		Store:   platform.NewLease(store, dutiesLeaseName), Clock: clock.NewSystem(), Timeout: v.dutyTimeout(),
	})
	if !platform.HasUsageDuty(d.Names) {
		return
	}
	v.usage = leader.NewUsageLedger(&leader.UsageLedgerOptions{
		Self: instance, DataCentre: self.DataCentre, Now: time.Now,
		Rules: v.usageTerms(), DataCentres: func() []contract.DataCentreID { return v.peers.DataCentres() },
	})
}

// usageTerms returns the length of a usage window and the deadline of its report.
func (v *vmProcess) usageTerms() usage.Rules {
	return usage.Rules{Window: v.settings.Duties.UsageWindow, ReportDeadline: v.settings.Duties.UsageReportDeadline}
}

// usageRecorder returns the callback that counts a request when an upstream begins to run
// the request. The callback is nil if the VMs do not report usage.
func (v *vmProcess) usageRecorder() func(contract.WorkspaceID, time.Time) {
	if v.usage == nil {
		return nil
	}
	return v.usage.CountRequest
}

// newLeader returns the component that acts on behalf of all VMs while this VM holds the
// lease. newLeader returns nil if the deployment configures no duties.
func (v *vmProcess) newLeader() *leader.Leader {
	if v.lease == nil {
		return nil
	}
	d := v.settings.Duties
	calls := platform.NewLeaderClient(d.Address, v.settings.Name, v.dutyTimeout())
	calls.OnCall = v.countDutyCall
	var tasks []leader.Task
	if v.usage != nil {
		tasks = append(tasks, leader.NewUsageReporter(&leader.UsageReporterOptions{
			Lease: v.lease, Ledger: v.usage, Rules: v.usageTerms(), API: calls, Now: time.Now, Log: v.log, Registry: v.registry,
		}))
	}
	if platform.HasScalingDuty(d.Names) {
		tasks = append(tasks, leader.NewScaler(&leader.ScalerOptions{
			Lease: v.lease, API: calls, Services: v.services, Upstreams: func() []upstream.Entry { return v.site.Upstreams() },
			ListAge: v.listAge, Load: v.peers.TotalLoad, ReleaseState: v.relay.RolloutState, ResponseObjective: v.objective, Now: time.Now, Log: v.log, Registry: v.registry,
		}))
	}
	v.log.Info("duties", zap.Strings("names", d.Names), zap.String("address", d.Address), zap.Duration("lease", d.Lease), zap.Int("acts", len(tasks)))
	return leader.New(&leader.Options{
		Lease: v.lease, TakeoverDelay: v.peers.LeaseDelay, OnChange: v.peers.AnnounceLease, Tasks: tasks, Log: v.log, Registry: v.registry,
	})
}

// services returns the services of the configuration in force.
func (v *vmProcess) services() map[contract.ServiceID]*route.Service {
	if t := v.site.Table(); t != nil {
		return t.Services
	}
	return nil
}

// objective returns the shortest latency objective among the routes to a service.
func (v *vmProcess) objective(s contract.ServiceID) time.Duration {
	if t := v.site.Table(); t != nil {
		return t.ShortestObjective(s)
	}
	return 0
}

// listAge returns the time since the platform's object store last confirmed the list of upstreams.
func (v *vmProcess) listAge() time.Duration {
	_, age := v.site.ConfirmationAges()
	return age
}

// countDutyCall counts a call to the platform on behalf of all VMs.
func (v *vmProcess) countDutyCall(c platform.Call, err error) {
	v.countCall("duty", fmt.Sprintf("call=%q", c.Verb), err)
}

// leaseMetrics returns the metrics of the lease: its holder, its fencing token, and how
// long the lease has been unchanged.
func (v *vmProcess) leaseMetrics() []string {
	if v.lease == nil {
		return nil
	}
	seen, age, known := v.lease.Latest()
	if !known {
		return []string{"lease_known 0"}
	}
	mine := 0
	if v.lease.HeldBySelf() {
		mine = 1
	}
	return []string{
		"lease_known 1",
		fmt.Sprintf("lease_mine %d", mine),
		fmt.Sprintf("lease_holder{vm=%q} 1", seen.Object.Holder.VM),
		fmt.Sprintf("lease_fencing_number %d", seen.Object.Fencing),
		fmt.Sprintf("lease_age_milliseconds %d", age.Milliseconds()),
	}
}
