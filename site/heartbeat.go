package site

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

// Run exchanges messages with other VMs until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	go func() { _ = p.endpoint.Serve(ctx) }() // Serve ends with the endpoint
	var lastJoin, lastDiscovery time.Time
	for tick := 0; ctx.Err() == nil; tick++ {
		p.logLiveCount()
		p.heartbeat(ctx, tick)
		now := p.now()
		p.awake.heartbeat(now)
		if p.joining(now) && now.Sub(lastJoin) >= joinInterval {
			lastJoin = now
			p.askSeed(ctx)
		}
		if now.Sub(lastDiscovery) >= discoveryInterval {
			lastDiscovery = now
			for _, address := range p.discoveryTargets() {
				go p.exchangeGossip(ctx, address, remoteTimeout, p.gossipFor(audienceRemote))
			}
		}
		select {
		case <-ctx.Done():
		case <-p.discoverNow: // there are known VMs to contact
			lastDiscovery = time.Time{}
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) * float64(p.heartbeatPause(now)))):
		}
	}
}

// heartbeatPause returns the time until the next heartbeat.
func (p *Peers) heartbeatPause(now time.Time) time.Duration {
	if p.joining(now) {
		return joinInterval
	}
	return heartbeatInterval
}

// logLiveCount logs the number of live VMs if it has changed since the last heartbeat.
func (p *Peers) logLiveCount() {
	v := p.currentView()
	p.mu.Lock()
	previous := p.loggedLive
	p.loggedLive = v.live
	p.mu.Unlock()
	if v.live != previous {
		p.log.Info("vms", zap.Int("live", v.live), zap.Int("before", previous), zap.Int("near", len(v.localPeers)+1), zap.Int("all", v.total),
			zap.Int("place", v.rank.Local), zap.Bool("hub", v.isHub))
	}
}

// heartbeat exchanges gossip with the VMs that this VM contacts periodically.
func (p *Peers) heartbeat(ctx context.Context, tick int) {
	v := p.currentView()
	if v.isHub {
		p.applyOthersDemand()
		msg := p.withDemand(p.gossipFor(audienceHub), audienceHub)
		for _, m := range p.hubsToContact(v) {
			go p.exchangeGossip(ctx, m.ControlAddress, localTimeout, msg)
		}
	} else {
		go p.heartbeatHub(ctx, v)
	}
	if tick%heartbeatsPerRemote != 0 || v.rank.Local >= delegates {
		return
	}
	msg := p.withDemand(p.gossipFor(audienceRemote), audienceRemote)
	for _, members := range v.remote {
		if len(members) > 0 {
			go p.exchangeGossip(ctx, members[rand.IntN(len(members))].ControlAddress, remoteTimeout, msg)
		}
	}
}
