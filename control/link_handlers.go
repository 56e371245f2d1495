package control

import (
	"context"

	"woaddoor/link"
	"woaddoor/protocol"
)

// registerLinkHandlers registers the handlers for calls that other processes make
// over the link.
func (s *Server) registerLinkHandlers() {
	link.Handle(s.endpoint, link.KindPullConfig, func(ctx context.Context, _ string, req protocol.PullRequest) (protocol.PullResponse, error) {
		return s.answerPull(ctx, req), nil
	})
	link.Handle(s.endpoint, link.KindHeartbeat, func(_ context.Context, _ string, received protocol.Heartbeat) (protocol.Heartbeat, error) {
		return s.answerHeartbeat(received), nil
	})
	link.Handle(s.endpoint, link.KindFileBills, func(ctx context.Context, _ string, req protocol.BillRecords) (protocol.Ack, error) {
		return protocol.Ack{}, s.billFiler.file(ctx, req.Records)
	})
}
