package control

import (
	"context"

	"woaddoor/link"
	"woaddoor/protocol"
)

// registerLinkHandlers registers the handlers for calls that other processes make
// over the link.
func (s *Server) registerLinkHandlers() {
	link.Handle(s.endpoint, link.KindPull, func(ctx context.Context, _ string, req protocol.PullRequest) (protocol.PullAnswer, error) {
		return s.answerPull(ctx, req), nil
	})
	link.Handle(s.endpoint, link.KindHeartbeat, func(_ context.Context, _ string, b protocol.Heartbeat) (protocol.Heartbeat, error) {
		return s.answerHeartbeat(b), nil
	})
	link.Handle(s.endpoint, link.KindFile, func(ctx context.Context, _ string, req protocol.Records) (protocol.Done, error) {
		return protocol.Done{}, s.billFiler.file(ctx, req.Records)
	})
}
