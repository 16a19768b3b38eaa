package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lynxspool"
	"lynxspool/internal/gateway"
	"lynxspool/internal/membership"
)

// bank brings the view of the other gateways to the module, and this one's traffic to them.
type bank struct {
	members *membership.Node
	loop    *gateway.Loop
	roster  *gateway.Roster
	rank    atomic.Int64 // of the settings in force
	state   atomic.Pointer[standing]
}

// standing is what GET /members says first: what decides, and why it last changed.
type standing struct {
	Rank int `json:"rank"`
	gateway.FleetStatus
	Changed time.Time `json:"changed"`
	Why     string    `json:"why"`
}

// lookEvery is the time between two looks of the module at the view.
const lookEvery = time.Second

// run looks until ctx ends.
func (b *bank) run(ctx context.Context) {
	go b.askPeers(ctx)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		b.look()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// look tells the module who is there, alive or suspect, and logs its place when that changed.
func (b *bank) look() {
	rank := int(b.rank.Load())
	var peers []lynxspool.Peer
	for _, p := range b.members.View() {
		if p.State == membership.Alive || p.State == membership.Suspect {
			peers = append(peers, lynxspool.Peer{Rank: p.Rank, Rate: p.Rate})
		}
	}
	place := b.loop.UpdatePeers(peers)
	b.members.AnnounceLoad(rank, place.Rate)
	old := b.state.Load()
	now := &standing{Rank: rank, FleetStatus: place, Changed: time.Now(), Why: b.members.LastChange()}
	if old != nil && old.Live == place.Live && old.Draws == place.Draws && old.Rank == rank {
		now.Changed, now.Why = old.Changed, old.Why
	} else {
		slog.Info("place in the bank", "rank", rank, "live", place.Live, "caps_shared_by", place.SharedBy,
			"draws", place.Draws, "why", now.Why)
	}
	b.state.Store(now)
}

// view is the answer to GET /members.
func (b *bank) view() any {
	return struct {
		Place *standing         `json:"place"`
		Peers []membership.Peer `json:"peers"`
	}{b.state.Load(), b.members.View()}
}

// askPeers asks for a list until there is one: a few peers at a time, more seldom as time
// goes on.
func (b *bank) askPeers(ctx context.Context) {
	for wait := 200 * time.Millisecond; b.roster.Empty(); wait = min(wait*5/4, time.Second) {
		b.members.RequestLists()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}
