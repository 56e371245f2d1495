package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/relay"
)

// Candidate is a VM that may serve requests for this one.
type Candidate struct {
	VM         contract.VMID
	Address    string // link address
	DataCentre contract.DataCentreID
	// Distance is 0 for VMs of this VM's data centre, 1 for its region, and 2 for other regions.
	Distance int
}

// Parameters of the search for helpers.
const (
	// askedPerDistance is how many VMs of each distance are asked.
	askedPerDistance = 3
	// askInterval is the minimum time between two rounds in which VMs are asked about a service.
	askInterval = 500 * time.Millisecond
	// answerTTL is how long the answers of a round count.
	answerTTL = 2 * time.Second
	// helperTTL is how long a VM stays a helper without a further answer.
	helperTTL = 5 * time.Second
	// droppedFor is how long a VM that has declined a request or was lost is not offered another.
	droppedFor = time.Second
	// fullFor is how long a VM that had no room is not offered another: about the time until one of its
	// requests has ended.
	fullFor = 50 * time.Millisecond
)

// directory holds which VMs reach which services.
type directory struct {
	opts *ClientOptions
	ask  func(ctx context.Context, address string, s contract.ServiceID) (ReachAnswer, error)

	// mu guards the fields below.
	mu       sync.Mutex
	services map[contract.ServiceID]*serviceHelpers
}

// serviceHelpers holds what other VMs have answered about a service.
type serviceHelpers struct {
	askedAt time.Time
	// round is the round in progress, or nil.
	round *round
	// reach is what the VMs have answered, the last one at answeredAt.
	reach      relay.Reach
	answeredAt time.Time
	logged     relay.Reach // as last logged
	helpers    []helper
}

// round is one round of questions to other VMs. The channel settled is closed once a VM has answered
// that it reaches the service, or the round has ended.
type round struct {
	settled chan struct{}
	once    sync.Once
}

func (r *round) settle() { r.once.Do(func() { close(r.settled) }) }

// helper is a VM that reaches a service.
type helper struct {
	Candidate
	// running is the number of requests that the VM has stated to run for other VMs,
	// and sent the number of requests of this VM that it runs.
	running, sent int
	// room is set if the VM has stated that it can send more requests to the service.
	room bool
	// holder is set if the VM holds room of the service: it may have room again at any moment.
	holder bool
	// fullAt is when the VM last had no room; zero once it had room again.
	fullAt       time.Time
	answeredAt   time.Time
	droppedUntil time.Time
}

func newDirectory(opts *ClientOptions, ask func(context.Context, string, contract.ServiceID) (ReachAnswer, error)) *directory {
	return &directory{opts: opts, ask: ask, services: make(map[contract.ServiceID]*serviceHelpers)}
}

// service returns the helpers of a service. The caller holds mu.
func (d *directory) service(s contract.ServiceID) *serviceHelpers {
	h, ok := d.services[s]
	if !ok {
		h = &serviceHelpers{}
		d.services[s] = h
	}
	return h
}

func (d *directory) reach(s contract.ServiceID) relay.Reach {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.service(s)
	if d.opts.Now().Sub(h.answeredAt) >= answerTTL {
		return relay.ReachUnknown
	}
	return h.reach
}

// refresh asks other VMs about a service, unless they were asked within askInterval.
// If no helper is known, refresh waits until one is found or the round has ended.
func (d *directory) refresh(ctx context.Context, s contract.ServiceID) {
	d.mu.Lock()
	h, now := d.service(s), d.opts.Now()
	if h.round == nil && (h.askedAt.IsZero() || now.Sub(h.askedAt) >= askInterval) {
		h.askedAt, h.round = now, &round{settled: make(chan struct{})}
		go d.askAll(context.WithoutCancel(ctx), s, h.round)
	}
	current, known := h.round, h.reach == relay.ReachElsewhere && now.Sub(h.answeredAt) < answerTTL
	d.mu.Unlock()
	if current == nil || known {
		return
	}
	select {
	case <-current.settled:
	case <-ctx.Done():
	}
}

// answered is the answer of one VM, or no answer.
type answered struct {
	Candidate
	ReachAnswer
	err error
}

// askAll asks some VMs of each distance about a service, and records the answers.
func (d *directory) askAll(ctx context.Context, s contract.ServiceID, current *round) {
	defer current.settle()
	asked := someOfEach(d.opts.Candidates())
	answers := make(chan answered, len(asked))
	for _, c := range asked {
		go func() {
			a, err := d.ask(ctx, c.Address, s)
			answers <- answered{c, a, err}
		}()
	}
	var all []answered
	for range asked {
		a := <-answers
		all = append(all, a)
		if a.err == nil && a.Reaches { // requests need not wait for VMs that do not answer
			d.add(s, a)
			current.settle()
		}
	}
	d.record(s, all)
}

// someOfEach returns askedPerDistance random VMs of each distance, of as many data centres as possible:
// each VM names the holders of its own data centre only.
func someOfEach(candidates []Candidate) []Candidate {
	shuffled := slices.Clone(candidates)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	var first, others []Candidate // the first of each data centre, and the others
	seen := make(map[contract.DataCentreID]bool)
	for _, c := range shuffled {
		if seen[c.DataCentre] {
			others = append(others, c)
		} else {
			seen[c.DataCentre] = true
			first = append(first, c)
		}
	}
	count := make(map[int]int)
	return slices.DeleteFunc(append(first, others...), func(c Candidate) bool {
		count[c.Distance]++
		return count[c.Distance] > askedPerDistance
	})
}

// add records that a VM reaches a service.
func (d *directory) add(s contract.ServiceID, a answered) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, now := d.service(s), d.opts.Now()
	h.reach, h.answeredAt = relay.ReachElsewhere, now
	known := h.ensure(a.VM)
	known.Candidate, known.running, known.room, known.answeredAt = a.Candidate, a.Running, a.Room || known.holder, now
	if a.Distance == 0 { // the holders of this data centre are suggested; this VM may be among those named
		return
	}
	for _, holder := range a.Holders {
		d.addHolder(s, Candidate{VM: holder.VM, Address: holder.Address, DataCentre: a.DataCentre, Distance: a.Distance})
	}
}

// record ends a round. A VM that has answered that it has no path is no helper any more.
func (d *directory) record(s contract.ServiceID, all []answered) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, now := d.service(s), d.opts.Now()
	silent, reach := 0, relay.ReachUnknown
	for _, a := range all {
		switch {
		case a.err != nil:
			silent++
		case a.Reaches:
			reach = relay.ReachElsewhere
		default:
			if i := h.index(a.VM); i >= 0 {
				h.helpers[i].droppedUntil = now.Add(droppedFor)
			}
			if a.Distance > 0 && reach == relay.ReachUnknown {
				reach = relay.ReachNowhere
			}
		}
	}
	h.helpers = slices.DeleteFunc(h.helpers, func(known helper) bool { return known.sent == 0 && now.Sub(known.answeredAt) >= helperTTL })
	h.reach, h.answeredAt, h.round = reach, now, nil
	if reach != h.logged {
		h.logged = reach
		d.opts.Log.Info("reach", zap.String("service", string(s)), zap.Stringer("reached", reach),
			zap.Int("asked", len(all)), zap.Int("silent", silent), zap.Int("helpers", len(h.helpers)))
	}
}

// index returns the index of a helper, or -1.
func (h *serviceHelpers) index(id contract.VMID) int {
	return slices.IndexFunc(h.helpers, func(known helper) bool { return known.VM == id })
}

// ensure returns a helper, and adds it if it is not known. The pointer is valid until the next call.
func (h *serviceHelpers) ensure(id contract.VMID) *helper {
	i := h.index(id)
	if i < 0 {
		h.helpers = append(h.helpers, helper{})
		i = len(h.helpers) - 1
	}
	return &h.helpers[i]
}

// pick returns the nearest helper for a request, of several the least loaded, and counts the request.
// The argument overflow means that only helpers with room come into question.
func (d *directory) pick(s contract.ServiceID, overflow bool, allowed func(contract.DataCentreID) bool) (Candidate, bool) {
	now := d.opts.Now()
	return d.pickBest(s, compareHelpers, func(h helper) bool {
		return !now.Before(h.droppedUntil) && (!overflow || h.room) && allowed(h.DataCentre)
	})
}

// pickFull returns the helper that was found without room longest ago, and counts the request: of several
// that had no room, it is the likeliest to have some again.
func (d *directory) pickFull(s contract.ServiceID, allowed func(contract.DataCentreID) bool) (Candidate, bool) {
	longestFull := func(a, b helper) int { return a.fullAt.Compare(b.fullAt) }
	return d.pickBest(s, longestFull, func(h helper) bool {
		return !h.fullAt.IsZero() && h.room && allowed(h.DataCentre)
	})
}

// pickBest returns the first eligible helper of a service in the given order, and counts the request.
func (d *directory) pickBest(s contract.ServiceID, order func(a, b helper) int, eligible func(helper) bool) (Candidate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.service(s)
	best := -1
	for i, known := range h.helpers {
		if eligible(known) && (best < 0 || order(known, h.helpers[best]) < 0) {
			best = i
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	h.helpers[best].sent++
	return h.helpers[best].Candidate, true
}

// compareHelpers orders helpers by their distance, then by their load.
func compareHelpers(a, b helper) int {
	return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.running+a.sent, b.running+b.sent))
}

// drop records that a VM has not accepted a request, and why. It gets no other for a while.
func (d *directory) drop(s contract.ServiceID, id contract.VMID, why Reason) {
	d.ended(s, id, func(h *helper) {
		pause := droppedFor
		if why == Full {
			pause, h.fullAt = fullFor, d.opts.Now()
		}
		h.droppedUntil = d.opts.Now().Add(pause)
	})
}

// done records that a request has ended at a VM. If the VM has failed it, it gets no other for a while.
func (d *directory) done(s contract.ServiceID, id contract.VMID, ok bool) {
	d.ended(s, id, func(h *helper) {
		h.fullAt = time.Time{}
		if ok {
			h.answeredAt = d.opts.Now()
		} else {
			h.droppedUntil = d.opts.Now().Add(droppedFor)
		}
	})
}

// ended records that a request does not run at a VM any more, and applies its result.
func (d *directory) ended(s contract.ServiceID, id contract.VMID, apply func(*helper)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.service(s)
	if i := h.index(id); i >= 0 {
		h.helpers[i].sent--
		apply(&h.helpers[i])
	}
}

// suggest adds VMs that are known to hold room of a service, without asking them. VMs that have been
// lost do not come into question.
func (d *directory) suggest(s contract.ServiceID, holders []contract.VMID) {
	if len(holders) == 0 {
		return
	}
	candidates := d.opts.Candidates()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range candidates {
		if slices.Contains(holders, c.VM) {
			d.addHolder(s, c)
		}
	}
}

// addHolder adds a VM that holds room of a service. The caller holds mu.
func (d *directory) addHolder(s contract.ServiceID, c Candidate) {
	known := d.service(s).ensure(c.VM)
	known.Candidate, known.room, known.holder, known.answeredAt = c, true, true, d.opts.Now()
}
