package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// Timing of the returns of the store from an older copy.
const (
	// backupInterval is the time between two copies, and backupsKept how many are kept.
	backupInterval = 250 * time.Millisecond
	backupsKept    = 20
	// rewriteDelay is how soon after a return the operator and
	// the upstreams have written their objects again.
	rewriteDelay = 600 * time.Millisecond
	// probeInterval is the time between two probes of the configuration.
	probeInterval = 30 * time.Millisecond
)

// backups holds the newest copies of the store.
type backups struct {
	// mu guards copies, oldest first.
	mu     sync.Mutex
	copies []*objects.Backup
}

// run copies the store until ctx ends.
func (b *backups) run(ctx context.Context, store *objects.Store) {
	for ctx.Err() == nil {
		b.mu.Lock()
		b.copies = append(b.copies, store.Backup())
		b.copies = b.copies[max(0, len(b.copies)-backupsKept):]
		b.mu.Unlock()
		sleepUntil(ctx, time.Now().Add(backupInterval))
	}
}

// pick returns the copy that is n intervals old, or the oldest one, or nil.
func (b *backups) pick(n int) *objects.Backup {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.copies) == 0 {
		return nil
	}
	return b.copies[max(0, len(b.copies)-1-n)]
}

// returnStore replaces the store's contents by an older copy, unless all VMs have just been killed:
// what the copy lacks would then be known to nobody. The operator and the upstreams then
// write their objects again.
func (f *fleet) returnStore(n int) {
	older := f.backups.pick(n % backupsKept)
	f.mu.Lock()
	justKilled := time.Since(f.killedAllAt) < settleTime
	if older == nil || justKilled {
		f.mu.Unlock()
		return
	}
	f.store.Restore(older)
	f.returnedAt = time.Now()
	f.mu.Unlock()
	delay := time.Duration(n%4) * rewriteDelay / 3
	time.AfterFunc(delay, func() {
		f.rewriteConfiguration()
		f.upstreams.rewriteObjects()
	})
}

// rewriteConfiguration writes the newest configuration again.
func (f *fleet) rewriteConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.PutDeployment(newDeployment(f.configVersion, f.workspaceKeys...))
	f.versions.accepted(f.configVersion)
}

// rewriteObjects writes the entries of the upstreams and the evacuations again,
// and removes those that an older copy contains and that have ended.
func (u *upstreams) rewriteObjects() {
	u.mu.Lock()
	defer u.mu.Unlock()
	current := make(map[string]bool)
	for _, position := range u.positions {
		current[position.id] = true
		if position.replica != nil {
			u.putEntry(position, position.incarnation)
		}
	}
	for _, id := range u.store.UpstreamIDs() {
		if !current[id] {
			u.store.DeleteUpstream(id)
		}
	}
	for _, dataCentre := range []string{dataCentre(0), dataCentre(1), dataCentre(2)} {
		if _, active := u.evacuatedAt[dataCentre]; active {
			u.store.StartEvacuation(dataCentre)
		} else {
			u.store.EndEvacuation(dataCentre)
		}
	}
}

// maxDraining is how many upstreams may drain at a time by their entries alone,
// so that enough are left for the other faults.
const maxDraining = 3

// drainByEntry makes the store's entry of an upstream, and nothing else, say that it drains.
// The upstream ends some time after the drain time.
func (u *upstreams) drainByEntry(position *upstreamPosition) {
	u.mu.Lock()
	draining := 0
	for _, p := range u.positions {
		if !p.drainingSince.IsZero() {
			draining++
		}
	}
	if draining >= maxDraining {
		u.mu.Unlock()
		return
	}
	incarnation := position.incarnation
	position.drainingSince = time.Now()
	u.putEntry(position, incarnation)
	u.mu.Unlock()
	u.recorder.check(guaranteeDrainEntry, true, "", "")
	time.AfterFunc(2*drainTimeout+settleTime, func() {
		u.mu.Lock()
		same := position.incarnation == incarnation
		u.mu.Unlock()
		if same {
			u.kill(position, restartDelay)
		}
	})
}

// checkDraining checks a request that has reached an upstream whose entry says that it drains.
func (s *noticeTracker) checkDraining(r *replica.Request, link *proxy, since time.Duration) {
	s.checkTimely(guaranteeDrainEntry, r, link, since, drainTimeout, "its upstream's entry said that it drains")
}

// versionTracker holds when the store accepted each version of the configuration.
type versionTracker struct {
	// mu guards acceptedAt.
	mu         sync.Mutex
	acceptedAt map[int]time.Time
}

// accepted records that the store has accepted a version, or has accepted it again.
func (t *versionTracker) accepted(version int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.acceptedAt == nil {
		t.acceptedAt = make(map[int]time.Time)
	}
	t.acceptedAt[version] = time.Now()
}

// inForce returns the newest version that every VM must know,
// or zero if there is none whose route the newest version still has.
func (t *versionTracker) inForce(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest, required := 0, 0
	for version, at := range t.acceptedAt {
		newest = max(newest, version)
		if now.Sub(at) > applyTimeout {
			required = max(required, version)
		}
	}
	if newest-required > objects.VersionsKept {
		return 0
	}
	return required
}

// runVersionProbe sends requests on the route of the newest configuration that must be in force,
// until ctx ends.
func (c *callers) runVersionProbe(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}
	for ; ctx.Err() == nil; time.Sleep(probeInterval) {
		v := c.fleet.vms[random.IntN(len(c.fleet.vms))]
		version := c.fleet.versions.inForce(time.Now())
		if version == 0 || !v.undisturbed() {
			continue
		}
		if status, ok := c.probe(client, v, objects.VersionPath(version)+"x"); ok && v.undisturbed() {
			c.fleet.recorder.check(guaranteeConfiguration, status != http.StatusNotFound, v.name, fmt.Sprintf("does not have the route of version %d", version))
		}
	}
}

// probe sends one request and returns the status of its answer, if there is one.
func (c *callers) probe(client *http.Client, v *vm, path string) (status int, ok bool) {
	id := fmt.Sprintf("id-%d", c.lastID.Add(1))
	req, err := c.newRequest(v, id, path, bodyNormal, keyKept)
	if err != nil {
		c.fleet.recorder.recordFault("cannot create a request: " + err.Error())
		return 0, false
	}
	c.mu.Lock()
	c.sentAt = append(c.sentAt, time.Now())
	c.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	resp.Body.Close()
	return resp.StatusCode, true
}
