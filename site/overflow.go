package site

import (
	"context"
	"time"

	"woaddoor/clock"
)

// overflowInterval is the period in which a delegate (one of the first hubs of a data centre)
// reports a summary of the engines of its data centre to each other data centre of the region. The
// two delegates together report four times a second. A report loses its weight within a second.
const overflowInterval = 500 * time.Millisecond

// reportOverflow sends summaries of the engines of this data centre until ctx ends.
func (p *Peers) reportOverflow(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, overflowInterval)
		p.reportOverflowOnce()
	}
}

// reportOverflowOnce sends a summary to one VM of each other data centre of the region, which
// forwards it to the other VMs there. No summary is sent where VMs of other data centres learn of
// each prompt (GossipScope.Region), nor by VMs that are no delegates.
func (p *Peers) reportOverflowOnce() {
	v := p.currentView()
	exchange := p.relayOrNil()
	if exchange == nil || v.scope.Region || v.rank.Local >= delegates {
		return
	}
	summary, ok := exchange.OverflowReport()
	if !ok {
		return
	}
	for _, m := range p.oneDelegatePerDataCentre(v) {
		p.sendReportMessages(m, []report{{overflow: &summary}}, true)
	}
}
