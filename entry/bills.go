package entry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/bill"
	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/protocol"
	"woaddoor/vm"
)

// Timings of bills.
const (
	keepTimeout = 3 * time.Second
	// hedgeAfter is how long a keeper may take before the next is asked too.
	hedgeAfter  = 100 * time.Millisecond
	fileEvery   = 250 * time.Millisecond
	fileTimeout = 4 * time.Second
	fileLimit   = 2000
	// keptRecently is how long a kept record shows that the next can be kept.
	keptRecently = 3 * time.Second
	billRetry    = 2 * time.Second
)

// billable refuses a request before it runs when its bill could not be kept.
// It goes by what was kept lately, and by a probe when that is long ago.
func (s *Server) billable(w *config.Workspace) *contract.Refusal {
	full, recent := false, false
	s.locked(func() {
		full = s.bills.Full()
		recent = s.clock.Now().Sub(s.lastKept) < keptRecently
	})
	if full {
		f := refusal(contract.RefusedBill, contract.NotRun, contract.StepBill, bill.ErrFull.Error())
		return f.WithRetryAfter(billRetry)
	}
	if recent || w.Bill == config.BillServe {
		return nil
	}
	if err := s.copyOut(context.Background(), protocol.Records{}); err != nil {
		f := refusal(contract.RefusedBill, contract.NotRun, contract.StepBill, "neither a peer nor the platform takes bill records, and the workspace is not served unbilled")
		return f.WithRetryAfter(billRetry)
	}
	return nil
}

// bill keeps the record of an answer before its end goes out: here, and at a
// peer or with the platform. It refuses only when the workspace is not to be
// served at the risk that this VM dies with the only record.
func (s *Server) bill(ctx context.Context, j *job, u engine.Usage) *contract.Refusal {
	return s.billRecord(ctx, j.chat.request, s.recordOf(j, u))
}

func (s *Server) billRecord(ctx context.Context, req *request, r bill.Record) *contract.Refusal {
	var err error
	s.locked(func() { err = s.bills.Keep(r, s.clock.Now()) })
	if err == nil {
		err = s.copyOut(ctx, protocol.Records{Records: []bill.Record{r}})
	}
	if err == nil {
		s.locked(func() { s.bills.Copied(r) })
		return nil
	}
	s.log.Warn("bill-at-risk", append(logs.Failure(err), zap.String("request", string(r.ID)), zap.Int64("amount", int64(r.Amount)))...)
	if req.workspace.Bill == config.BillServe {
		return nil
	}
	// The answer is withheld, so it is not billed either.
	s.locked(func() { s.bills.Filed([]bill.Record{r}) })
	f := refusal(contract.RefusedBill, contract.Ran, contract.StepBill, "the bill could be kept neither by a peer nor by the platform")
	return f.WithRetryAfter(billRetry)
}

// copyOut has one peer hold the records, or the platform. The next in line is
// asked as well when one has not answered soon; the first to answer will do.
func (s *Server) copyOut(ctx context.Context, records protocol.Records) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	var ways []func() error
	keepers := s.keepers()
	for _, m := range keepers {
		ways = append(ways, func() error { return s.copyTo(ctx, m, records) })
	}
	ways = append(ways, func() error { return s.file(ctx, records) })
	answers := make(chan error, len(ways))
	asked, answered := 0, 0
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	var failed error
	for answered < len(ways) {
		select {
		case <-hedge.C:
			if asked < len(ways) {
				way := ways[asked]
				asked++
				go func() { answers <- way() }()
				hedge.Reset(hedgeAfter)
			}
		case err := <-answers:
			if err == nil {
				s.kept()
				return nil
			}
			answered++
			failed = err
			hedge.Reset(0)
		}
	}
	return fmt.Errorf("%d keepers asked: %w", len(keepers), failed)
}

func (s *Server) copyTo(ctx context.Context, m vm.Member, records protocol.Records) error {
	_, err := link.Call[protocol.Records, protocol.Done](ctx, s.endpoint, m.EntryLink, link.KindKeep, records)
	if err != nil {
		s.log.Warn("keep-failed", append(logs.Failure(err), zap.String("keeper", string(m.VM)))...)
		s.locked(func() { s.keeperFailed[m.VM] = s.clock.Now() })
	}
	return err
}

func (s *Server) kept() { s.locked(func() { s.lastKept = s.clock.Now() }) }

// How peers are chosen to hold records.
const (
	maxKeepers = 2
	// avoidFailed is how long a peer that did not answer is asked last.
	avoidFailed = 5 * time.Second
)

// keepers returns the peers to ask to hold a copy, one after another: first one
// of another data centre, since a whole data centre can be lost, then one of
// the own, since all others can be cut off. One that did not answer lately is
// passed over while there is another of its kind.
func (s *Server) keepers() []vm.Member {
	var far, near []vm.Member
	for _, m := range s.view.Load().members {
		if m.VM == s.origin.VM || m.EntryIncarnation == 0 || m.Leaving {
			continue
		}
		if m.DataCentre == s.opts.Settings.DataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.keeperFailed, func(_ contract.VMID, at time.Time) bool { return now.Sub(at) >= avoidFailed })
	failed := func(m vm.Member) bool { return now.Sub(s.keeperFailed[m.VM]) < avoidFailed }
	var chosen []vm.Member
	for _, peers := range [][]vm.Member{far, near} {
		s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		slices.SortStableFunc(peers, func(a, b vm.Member) int { return cmp.Compare(btoi(failed(a)), btoi(failed(b))) })
		if len(peers) > 0 {
			chosen = append(chosen, peers[0])
		}
	}
	if len(chosen) == maxKeepers && failed(chosen[0]) && !failed(chosen[1]) {
		chosen[0], chosen[1] = chosen[1], chosen[0]
	}
	return chosen
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fileLoop has the records held here filed.
func (s *Server) fileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, fileEvery)
		s.fileDue(ctx)
	}
}

func (s *Server) fileDue(ctx context.Context) {
	var due []bill.Record
	s.locked(func() { due = s.bills.Due(s.clock.Now(), fileLimit) })
	if len(due) == 0 {
		return
	}
	records := protocol.Records{Records: due}
	if err := s.file(ctx, records); err != nil {
		s.log.Warn("filing-failed", logs.Failure(err)...)
		s.copyAgain(ctx)
		return
	}
	s.locked(func() { s.bills.Filed(due) })
	s.tellFiled(ctx, records)
}

// copyAgain has a peer hold the records that none took when they were made: while the
// platform is out, a planned stop waits for them, and ended only with its return.
func (s *Server) copyAgain(ctx context.Context) {
	var risky []bill.Record
	s.locked(func() { risky = s.bills.Risky(fileLimit) })
	if len(risky) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	for _, keeper := range s.keepers() {
		if s.copyTo(ctx, keeper, protocol.Records{Records: risky}) != nil {
			continue // logged there
		}
		s.kept()
		s.locked(func() {
			for _, r := range risky {
				s.bills.Copied(r)
			}
		})
		return
	}
}

// file has a control process write the records to the platform: the own one,
// or, when it is dead or cut off, a peer's.
func (s *Server) file(ctx context.Context, records protocol.Records) error {
	var err error
	for i, address := range s.sources() {
		if i > maxKeepers {
			break
		}
		call, cancel := context.WithTimeout(ctx, fileTimeout)
		_, err = link.Call[protocol.Records, protocol.Done](call, s.endpoint, address, link.KindFile, records)
		cancel()
		if err == nil {
			s.kept()
			return nil
		}
	}
	return err
}

// tellFiled lets the peers drop their copies. A lost word makes a peer file
// the record again, which the union of records makes harmless.
func (s *Server) tellFiled(ctx context.Context, records protocol.Records) {
	for _, m := range s.view.Load().members {
		if m.VM == s.origin.VM || m.EntryIncarnation == 0 {
			continue
		}
		go func() {
			call, cancel := context.WithTimeout(ctx, keepTimeout)
			defer cancel()
			_, _ = link.Call[protocol.Records, protocol.Done](call, s.endpoint, m.EntryLink, link.KindFiled, records)
		}()
	}
}

// settleBills sees the held records filed before a planned stop ends, or, when
// the platform does not answer, held by peers, which file them.
func (s *Server) settleBills(ctx context.Context) {
	for ctx.Err() == nil {
		s.fileDue(ctx)
		due, atRisk := 0, 0
		s.locked(func() { due, atRisk = len(s.bills.Due(s.clock.Now(), fileLimit)), s.bills.AtRisk() })
		if due == 0 || atRisk == 0 {
			return
		}
		clock.Pause(ctx, fileEvery)
	}
}
