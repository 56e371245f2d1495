package entry

import (
	"context"

	"woaddoor/link"
	"woaddoor/protocol"
	"woaddoor/ticket"
)

// handleLinks answers the calls of other processes.
func (s *Server) handleLinks() {
	link.Handle(s.endpoint, link.KindVote, func(_ context.Context, _ string, req protocol.VoteRequest) (ticket.Vote, error) {
		return s.voteHere(req.Ticket, req.Claimant)
	})
	link.Handle(s.endpoint, link.KindSettled, func(_ context.Context, _ string, req protocol.SettleRequest) (protocol.Done, error) {
		s.locked(func() { s.register.Settle(req.TicketID, req.Claimant, req.Result) })
		return protocol.Done{}, nil
	})
	link.Handle(s.endpoint, link.KindKeep, func(_ context.Context, _ string, req protocol.Records) (protocol.Done, error) {
		return protocol.Done{}, s.keepForPeer(req)
	})
	link.Handle(s.endpoint, link.KindFiled, func(_ context.Context, _ string, req protocol.Records) (protocol.Done, error) {
		s.locked(func() { s.bills.Filed(req.Records) })
		return protocol.Done{}, nil
	})
}

// keepForPeer holds copies of a peer's records. A stopping process takes none:
// it would have to file them before it ends.
func (s *Server) keepForPeer(req protocol.Records) error {
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
