package entry

import (
	"context"

	"woaddoor/link"
	"woaddoor/protocol"
	"woaddoor/ticket"
)

// registerPeerHandlers registers the handlers for calls from the entry processes of other VMs: votes on
// tickets, results of tickets, and copies of bill records to store or drop.
func (s *Server) registerPeerHandlers() {
	link.Handle(s.endpoint, link.KindTicketVote, func(_ context.Context, _ string, req protocol.VoteRequest) (ticket.Vote, error) {
		return s.voteLocally(req.Ticket, req.Claimant)
	})
	link.Handle(s.endpoint, link.KindTicketSettled, func(_ context.Context, _ string, req protocol.SettleRequest) (protocol.Ack, error) {
		s.locked(func() { s.voteStore.StoreResult(req.TicketID, req.Claimant, req.Result) })
		return protocol.Ack{}, nil
	})
	link.Handle(s.endpoint, link.KindCopyBills, func(_ context.Context, _ string, req protocol.BillRecords) (protocol.Ack, error) {
		return protocol.Ack{}, s.storeForPeer(req)
	})
	link.Handle(s.endpoint, link.KindBillsFiled, func(_ context.Context, _ string, req protocol.BillRecords) (protocol.Ack, error) {
		s.locked(func() { s.bills.MarkFiled(req.Records) })
		return protocol.Ack{}, nil
	})
}

// storeForPeer stores copies of a peer's bill records.
// A stopping process rejects the copies, because it would have to submit them to the platform
// before it ends.
func (s *Server) storeForPeer(req protocol.BillRecords) error {
	if s.stopping.Load() {
		return errStopping
	}
	var err error
	s.locked(func() {
		for _, r := range req.Records {
			if err == nil {
				err = s.bills.Add(r, s.clock.Now())
			}
		}
	})
	return err
}
