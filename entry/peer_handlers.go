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
	link.Handle(s.endpoint, link.KindVote, func(_ context.Context, _ string, req protocol.VoteRequest) (ticket.Vote, error) {
		return s.voteLocally(req.Ticket, req.Claimant)
	})
	link.Handle(s.endpoint, link.KindSettled, func(_ context.Context, _ string, req protocol.SettleRequest) (protocol.Done, error) {
		s.locked(func() { s.ticketRegister.Settle(req.TicketID, req.Claimant, req.Result) })
		return protocol.Done{}, nil
	})
	link.Handle(s.endpoint, link.KindKeep, func(_ context.Context, _ string, req protocol.Records) (protocol.Done, error) {
		return protocol.Done{}, s.storeForPeer(req)
	})
	link.Handle(s.endpoint, link.KindFiled, func(_ context.Context, _ string, req protocol.Records) (protocol.Done, error) {
		s.locked(func() { s.bills.Filed(req.Records) })
		return protocol.Done{}, nil
	})
}

// storeForPeer stores copies of a peer's bill records. A stopping process rejects them, because it would
// have to submit them to the platform before it ends.
func (s *Server) storeForPeer(req protocol.Records) error {
	if s.stopping.Load() {
		return errStopping
	}
	var err error
	s.locked(func() {
		for _, r := range req.Records {
			if err == nil {
				err = s.bills.Keep(r, s.clock.Now())
			}
		}
	})
	return err
}
