package control

import (
	"context"

	"woaddoor/link"
	"woaddoor/protocol"
)

// handleLinks answers the calls of other processes.
func (s *Server) handleLinks() {
	link.Handle(s.endpoint, link.KindPull, func(ctx context.Context, _ string, req protocol.PullRequest) (protocol.PullAnswer, error) {
		return s.pull(ctx, req), nil
	})
	link.Handle(s.endpoint, link.KindHeartbeat, func(_ context.Context, _ string, b protocol.Heartbeat) (protocol.Heartbeat, error) {
		return s.answerBeat(b), nil
	})
	link.Handle(s.endpoint, link.KindFile, func(ctx context.Context, _ string, req protocol.Records) (protocol.Done, error) {
		return protocol.Done{}, s.filing.file(ctx, req.Records)
	})
}
