package entry

import (
	"context"
	"fmt"
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

// Timeouts, intervals and limits for copying bill records to peers and submitting them to the platform.
const (
	copyTimeout = 3 * time.Second
	// hedgeDelay is how long a copy to one peer may take before the next target is tried in parallel.
	hedgeDelay       = 100 * time.Millisecond
	submitInterval   = 250 * time.Millisecond
	submitTimeout    = 4 * time.Second
	maxSubmitRecords = 2000
	// recentCopyAge is the age up to which a successful copy makes success of the next copy likely.
	recentCopyAge  = 3 * time.Second
	billRetryAfter = 2 * time.Second
)

// checkBillable refuses a request before it runs if its bill record could not be stored on this VM
// or copied elsewhere. After a recent successful copy, the next copy is assumed to succeed.
// Without a recent successful copy, checkBillable sends an empty copy as a probe.
// Workspaces configured with config.BillServe are served without a copy elsewhere.
func (s *Server) checkBillable(ws *config.Workspace) *contract.Refusal {
	full, recent := false, false
	s.locked(func() {
		full = s.bills.Full()
		recent = s.clock.Now().Sub(s.lastCopiedAt) < recentCopyAge
	})
	if full {
		r := newRefusal(contract.RefusedBillNotStored, contract.OutcomeNotRun, contract.StepBill, bill.ErrFull.Error())
		return r.WithRetryAfter(billRetryAfter)
	}
	if recent || ws.BillPolicy == config.BillServe {
		return nil
	}
	if err := s.copyRecords(context.Background(), protocol.BillRecords{}); err != nil {
		r := newRefusal(contract.RefusedBillNotStored, contract.OutcomeNotRun, contract.StepBill, "neither a peer nor the platform takes bill records, and the workspace is not served unbilled")
		return r.WithRetryAfter(billRetryAfter)
	}
	return nil
}

// saveBill stores the bill record of an answer before the end of the answer is sent.
// The record is stored on this VM and copied to a peer or submitted to the platform.
// If storing or copying the record fails, the request is refused. A workspace that is configured to
// accept the risk that this VM crashes with the only copy of the record is served nevertheless.
func (s *Server) saveBill(ctx context.Context, j *job, usage engine.Usage) *contract.Refusal {
	return s.saveBillRecord(ctx, j.chat.request, s.newBillRecord(j, usage))
}

// saveBillRecord does the work of saveBill for a given bill record.
func (s *Server) saveBillRecord(ctx context.Context, req *request, record bill.Record) *contract.Refusal {
	var err error
	s.locked(func() { err = s.bills.Add(record, s.clock.Now()) })
	if err == nil {
		err = s.copyRecords(ctx, protocol.BillRecords{Records: []bill.Record{record}})
	}
	if err == nil {
		s.locked(func() { s.bills.MarkCopied(record) })
		return nil
	}
	s.log.Warn("bill-at-risk", append(logs.ErrorFields(err), zap.String("request", string(record.ID)), zap.Int64("amount", int64(record.Amount)))...)
	if req.workspace.BillPolicy == config.BillServe {
		return nil
	}
	// The caller does not get the answer, so the answer's bill record is dropped and not billed.
	s.locked(func() { s.bills.MarkFiled([]bill.Record{record}) })
	refused := newRefusal(contract.RefusedBillNotStored, contract.OutcomeRan, contract.StepBill, "the bill could be kept neither by a peer nor by the platform")
	return refused.WithRetryAfter(billRetryAfter)
}

// copyRecords stores bill records at one peer or, failing that, at the platform.
// If a target fails or does not answer within hedgeDelay, the next target is tried as well.
// The first success is enough.
func (s *Server) copyRecords(ctx context.Context, records protocol.BillRecords) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	var targets []func() error
	peers := s.copyPeers()
	for _, m := range peers {
		targets = append(targets, func() error { return s.copyToPeer(ctx, m, records) })
	}
	targets = append(targets, func() error { return s.submit(ctx, records) })
	results := make(chan error, len(targets))
	started, failed := 0, 0
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	var lastErr error
	for failed < len(targets) {
		select {
		case <-hedge.C:
			if started < len(targets) {
				target := targets[started]
				started++
				go func() { results <- target() }()
				hedge.Reset(hedgeDelay)
			}
		case err := <-results:
			if err == nil {
				s.markCopied()
				return nil
			}
			failed++
			lastErr = err
			hedge.Reset(0)
		}
	}
	return fmt.Errorf("no copy of the bill records stored: %d peers and the platform tried: %w", len(peers), lastErr)
}

// copyToPeer stores bill records at one peer.
// A failure is logged and makes copyPeers avoid the peer.
func (s *Server) copyToPeer(ctx context.Context, m vm.Member, records protocol.BillRecords) error {
	_, err := link.Call[protocol.BillRecords, protocol.Ack](ctx, s.endpoint, m.EntryAddress, link.KindCopyBills, records)
	if err != nil {
		s.log.Warn("keep-failed", append(logs.ErrorFields(err), zap.String("keeper", string(m.VM)))...)
		s.locked(func() { s.copyFailedAt[m.VM] = s.clock.Now() })
	}
	return err
}

// markCopied records that a peer or the platform has just stored bill records.
func (s *Server) markCopied() { s.locked(func() { s.lastCopiedAt = s.clock.Now() }) }

// submitLoop periodically submits the bill records stored on this VM to the platform.
func (s *Server) submitLoop(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, submitInterval)
		s.submitDue(ctx)
	}
}

// submitDue submits the bill records that are due now, and asks the peers to drop their copies.
func (s *Server) submitDue(ctx context.Context) {
	var due []bill.Record
	s.locked(func() { due = s.bills.Due(s.clock.Now(), maxSubmitRecords) })
	if len(due) == 0 {
		return
	}
	records := protocol.BillRecords{Records: due}
	if err := s.submit(ctx, records); err != nil {
		s.log.Warn("filing-failed", logs.ErrorFields(err)...)
		s.copyAtRisk(ctx)
		return
	}
	s.locked(func() { s.bills.MarkFiled(due) })
	s.notifySubmitted(ctx, records)
}

// copyAtRisk copies to a peer the bill records that exist only on this VM, because their first copy
// failed. A planned shutdown waits for these records. Without the copy, the shutdown would wait
// until a platform outage ends.
func (s *Server) copyAtRisk(ctx context.Context) {
	var atRisk []bill.Record
	s.locked(func() { atRisk = s.bills.Uncopied(maxSubmitRecords) })
	if len(atRisk) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	for _, peer := range s.copyPeers() {
		if s.copyToPeer(ctx, peer, protocol.BillRecords{Records: atRisk}) != nil {
			continue // copyToPeer has logged the failure
		}
		s.markCopied()
		s.locked(func() {
			for _, r := range atRisk {
				s.bills.MarkCopied(r)
			}
		})
		return
	}
}

// submit has a control process write bill records to the platform.
// submit tries this VM's control process first and then those of peers, because this VM's own
// control process may have crashed or lost its connection.
func (s *Server) submit(ctx context.Context, records protocol.BillRecords) error {
	var err error
	for i, address := range s.controlAddresses() {
		if i > maxCopyPeers {
			break
		}
		call, cancel := context.WithTimeout(ctx, submitTimeout)
		_, err = link.Call[protocol.BillRecords, protocol.Ack](call, s.endpoint, address, link.KindFileBills, records)
		cancel()
		if err == nil {
			s.markCopied()
			return nil
		}
	}
	return err
}

// notifySubmitted asks the peers to drop their copies of submitted bill records.
// If a message is lost, the peer submits the record again.
// A repeated submission is harmless because the platform stores each record ID once.
func (s *Server) notifySubmitted(ctx context.Context, records protocol.BillRecords) {
	for _, m := range s.view.Load().members {
		if m.VM == s.origin.VM || m.EntryIncarnation == 0 {
			continue
		}
		go func() {
			call, cancel := context.WithTimeout(ctx, copyTimeout)
			defer cancel()
			_, _ = link.Call[protocol.BillRecords, protocol.Ack](call, s.endpoint, m.EntryAddress, link.KindBillsFiled, records)
		}()
	}
}

// flushBills runs at the end of a planned shutdown and waits until all bill records are submitted.
// If the platform does not answer, flushBills waits until peers store copies of the records,
// which the peers will submit.
func (s *Server) flushBills(ctx context.Context) {
	for ctx.Err() == nil {
		s.submitDue(ctx)
		due, atRisk := 0, 0
		s.locked(func() { due, atRisk = len(s.bills.Due(s.clock.Now(), maxSubmitRecords)), s.bills.AtRiskCount() })
		if due == 0 || atRisk == 0 {
			return
		}
		clock.Sleep(ctx, submitInterval)
	}
}
