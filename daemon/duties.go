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

// dutiesLeaseName is the name of the lease under which one VM acts for all.
const dutiesLeaseName = "duties"

// dutyTimeoutDivisor is the part of a lease that a call may take, divided: less than the margin at its
// end in which none is made.
const dutyTimeoutDivisor = 4

// dutyTimeout bounds a call that one VM makes for all, and those that keep its lease.
func (v *vmProcess) dutyTimeout() time.Duration { return v.settings.Duties.Lease / dutyTimeoutDivisor }

// buildDuties makes the parts by which one VM acts for all, where the deployment asks for
// anything.
func (v *vmProcess) buildDuties(store *platform.Store, self members.Member) {
	d := v.settings.Duties
	if d.Address == "" {
		return
	}
	life := contract.VMLife{VM: self.VM, Incarnation: self.Incarnation}
	v.lease = leader.NewKeeper(&leader.KeeperOptions{
		Options: lease.Options{Self: life, Length: d.Lease},
		Store:   platform.NewLease(store, dutiesLeaseName), Clock: clock.NewSystem(), Timeout: v.dutyTimeout(),
	})
	if !platform.Reports(d.Names) {
		return
	}
	v.usage = leader.NewBook(&leader.BookOptions{
		Self: life, DataCentre: self.DataCentre, Now: time.Now,
		Terms: v.usageTerms(), Centres: func() []contract.DataCentreID { return v.peers.Centres() },
	})
}

func (v *vmProcess) usageTerms() usage.Terms {
	return usage.Terms{Window: v.settings.Duties.UsageWindow, Late: v.settings.Duties.UsageReportDeadline}
}

// usageRecorder returns what is told of requests that upstreams begin to run; nil where nobody asks.
func (v *vmProcess) usageRecorder() func(contract.WorkspaceID, time.Time) {
	if v.usage == nil {
		return nil
	}
	return v.usage.Began
}

// newLeader returns what acts for all VMs where this one is to; nil where none does.
func (v *vmProcess) newLeader() *leader.Leader {
	if v.lease == nil {
		return nil
	}
	d := v.settings.Duties
	calls := platform.NewDuties(d.Address, v.settings.Name, v.dutyTimeout())
	calls.Called = v.countDutyCall
	var acts []leader.Act
	if v.usage != nil {
		acts = append(acts, leader.NewReports(&leader.ReportsOptions{
			Keeper: v.lease, Book: v.usage, Terms: v.usageTerms(), Reporter: calls, Now: time.Now, Log: v.log, Registry: v.registry,
		}))
	}
	if platform.Scales(d.Names) {
		acts = append(acts, leader.NewScaler(&leader.ScalerOptions{
			Keeper: v.lease, Orderer: calls, Services: v.services, Upstreams: func() []upstream.Entry { return v.site.Upstreams() },
			Age: v.listAge, Work: v.peers.AllWork, Releases: v.relay.Releases, Objective: v.objective, Now: time.Now, Log: v.log, Registry: v.registry,
		}))
	}
	v.log.Info("duties", zap.Strings("names", d.Names), zap.String("address", d.Address), zap.Duration("lease", d.Lease), zap.Int("acts", len(acts)))
	return leader.New(&leader.Options{
		Keeper: v.lease, Turn: v.peers.Turn, Changed: v.peers.LeaseChanged, Acts: acts, Log: v.log, Registry: v.registry,
	})
}

// services returns those of the configuration in force.
func (v *vmProcess) services() map[contract.ServiceID]*route.Service {
	if t := v.site.Table(); t != nil {
		return t.Services
	}
	return nil
}

// objective returns the shortest objective of the routes to a service.
func (v *vmProcess) objective(s contract.ServiceID) time.Duration {
	if t := v.site.Table(); t != nil {
		return t.Objective(s)
	}
	return 0
}

// listAge returns how old the store's word on the list of upstreams is.
func (v *vmProcess) listAge() time.Duration {
	_, age := v.site.Ages()
	return age
}

// countDutyCall counts a call that one VM makes for all.
func (v *vmProcess) countDutyCall(c platform.Call, err error) {
	v.countCall("duty", fmt.Sprintf("call=%q", c.Verb), err)
}

// leaseMetrics returns what is told of who acts for all.
func (v *vmProcess) leaseMetrics() []string {
	if v.lease == nil {
		return nil
	}
	seen, age, known := v.lease.Known()
	if !known {
		return []string{"lease_known 0"}
	}
	mine := 0
	if v.lease.Mine() {
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
