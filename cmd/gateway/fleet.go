package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway"
	"bramblelock/internal/gateway/discovery"
	"bramblelock/internal/membership"
)

// fleetSynchronizer passes the membership view to the decision module and announces this gateway's
// rank and request rate to its peers.
type fleetSynchronizer struct {
	members *membership.Node
	loop    *gateway.Loop
	roster  *discovery.Roster
	rank    atomic.Int64                   // configured rank of this gateway, updated by a reload
	status  atomic.Pointer[reportedStatus] // nil until the first update
}

// reportedStatus is the status of this gateway in the fleet as the answer to GET /members states it. The
// time and the reason are those of the last change of Rank, Live or SubsetHosts.
type reportedStatus struct {
	Rank int `json:"rank"`
	gateway.FleetStatus
	ChangedAt time.Time `json:"changed"`
	Reason    string    `json:"why"`
}

// peerUpdateInterval is the time between two updates of the decision module from the membership view.
const peerUpdateInterval = time.Second

// run requests an initial host list from peers and updates the decision module every
// peerUpdateInterval until ctx is done.
func (f *fleetSynchronizer) run(ctx context.Context) {
	go f.requestInitialList(ctx)
	tick := time.NewTicker(peerUpdateInterval)
	defer tick.Stop()
	for {
		f.updatePeers()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// updatePeers reports the peers that are alive or suspect to the decision module, announces this
// gateway's rank and request rate to them, and logs the fleet status if Rank, Live or SubsetHosts changed.
func (f *fleetSynchronizer) updatePeers() {
	rank := int(f.rank.Load())
	var peers []bramblelock.Peer
	for _, p := range f.members.View() {
		if p.State == membership.Alive || p.State == membership.Suspect {
			peers = append(peers, bramblelock.Peer{Rank: p.Rank, Rate: p.Rate})
		}
	}
	status := f.loop.UpdatePeers(peers)
	f.members.AnnounceLoad(rank, status.RequestRate)
	previous := f.status.Load()
	current := &reportedStatus{Rank: rank, FleetStatus: status, ChangedAt: time.Now(), Reason: f.members.LastChange()}
	if previous != nil && previous.Live == status.Live && previous.SubsetHosts == status.SubsetHosts && previous.Rank == rank {
		current.ChangedAt, current.Reason = previous.ChangedAt, previous.Reason
	} else {
		slog.Info("place in the fleet", "rank", rank, "live", status.Live, "caps_shared_by", status.EffectiveInstances,
			"draws", status.SubsetHosts, "why", current.Reason)
	}
	f.status.Store(current)
}

// membersResponse returns the body of the answer to GET /members, to be encoded as JSON.
func (f *fleetSynchronizer) membersResponse() any {
	return struct {
		Status *reportedStatus   `json:"place"`
		Peers  []membership.Peer `json:"peers"`
	}{f.status.Load(), f.members.View()}
}

// requestInitialList asks a few peers at a time for their host list until the roster has one. The
// delay between requests grows by a quarter each time, up to 1 s, with jitter of ±50 %.
func (f *fleetSynchronizer) requestInitialList(ctx context.Context) {
	for retryDelay := 200 * time.Millisecond; f.roster.Empty(); retryDelay = min(retryDelay*5/4, time.Second) {
		f.members.RequestLists()
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		}
	}
}
