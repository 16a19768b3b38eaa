package fleetlab

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"bramblelock"
)

// world is the state of a run of the virtual engine, which has one thread and one clock.
type world struct {
	scenario       *Scenario
	now            Time
	seq            uint64 // of the last scheduled event
	queue          eventQueue
	recorder       *Recorder
	netRand        *rand.Rand // for latencies
	seedRand       *rand.Rand // for the seeds of the Balancers
	retryRand      *rand.Rand // for the retry delays of list clients that the Balancer does not choose
	hosts          []*Host
	nextCompletion []Time // by host: time of the scheduled event for its next completion; 0: none
	gateways       []*gateway
	edgeBalancer   edgeBalancer
	catalogs       []*listService
	hostList       []listEntry // by host
	listVersion    uint64
	linkFaults     []*linkFault
	partition      map[int]bool // ranks on one side of a membership partition; nil: no partition
	partitionedAt  Time
	zones          []string      // names by zone index
	kinds          []string      // names by kind index
	oracle         bool          // the oracle takes the place of the gateways
	oracleRequests map[*Job]Time // arrival times of the requests that the oracle has in flight
	pendingBuffer  []int         // reused by samplePending
}

// listEntry is a host on the host list.
type listEntry struct {
	host    bramblelock.Host
	version uint64 // list version of its last change
	listed  bool
}

// Virtual runs a scenario on a virtual clock in this process. Runs of the same scenario give Results that
// are equal to the byte.
func Virtual(s *Scenario) *Result { return runVirtual(s, false) }

// runVirtual runs a scenario in the virtual engine, with the oracle in place of the gateways if oracle is set.
func runVirtual(s *Scenario, oracle bool) *Result {
	w := newWorld(s, oracle)
	w.runUntil(s.Length.std() + s.longestDeadline() + 100*time.Millisecond)
	w.endOpenRequests()
	engine := EngineVirtual
	if oracle {
		engine = EngineOracle
	}
	return w.recorder.Result(engine, w.hosts)
}

// newWorld returns the state at the start of a run, with the events that the scenario gives.
func newWorld(s *Scenario, oracle bool) *world {
	w := &world{
		scenario:       s,
		recorder:       NewRecorder(s),
		netRand:        s.newRand(streamNet),
		seedRand:       s.newRand(streamSeeds),
		retryRand:      s.newRand(streamWeights + 100),
		edgeBalancer:   newEdgeBalancer(s),
		oracle:         oracle,
		oracleRequests: map[*Job]Time{},
	}
	for i := range s.Hosts {
		group := &s.Hosts[i]
		w.zones = appendUnique(w.zones, group.Zone)
		w.kinds = appendUnique(w.kinds, group.Kind)
		for range group.Count {
			w.addHost(group)
		}
	}
	for i := range s.Catalog.Instances {
		w.catalogs = append(w.catalogs, newListService(w, i))
	}
	w.addGateways()
	w.scheduleFaults()
	w.scheduleArrivals()
	w.at(binWidth, w.samplePending)
	return w
}

// addGateways adds the gateways and schedules the starts of the present ones, unless the oracle takes their
// place.
func (w *world) addGateways() {
	s := w.scenario
	present, hasSavedList := s.PresentRanks(), s.ranksWithSavedList()
	startRand := s.newRand(streamSeeds + 100)
	for i := range s.Gateways.Count {
		g := &gateway{world: w, rank: i, zone: i * len(w.zones) / s.Gateways.Count, configured: s.Gateways.Configured, hasSavedList: hasSavedList[i]}
		w.gateways = append(w.gateways, g)
		at := Time(startRand.Float64() * float64(s.Gateways.StartSpread))
		if present[i] && !w.oracle {
			w.at(at, g.start)
		}
	}
}

// ranksWithSavedList returns the ranks of the gateways that start with a saved host list.
func (s *Scenario) ranksWithSavedList() map[int]bool {
	ranks := map[int]bool{}
	if s.Gateways.SavedListShare > 0 {
		for _, i := range chooseShare(s.newRand(streamAbsent+100), s.Gateways.Count, s.Gateways.SavedListShare, SelectRandom) {
			ranks[i] = true
		}
	}
	return ranks
}

// scheduleArrivals schedules the first arrival. Each arrival schedules the next one.
func (w *world) scheduleArrivals() {
	arrivals := newArrivals(w.scenario)
	next, more := arrivals.draw()
	var arrive func()
	arrive = func() {
		w.handleArrival(next)
		if next, more = arrivals.draw(); more {
			w.at(next.At, arrive)
		}
	}
	if more {
		w.at(next.At, arrive)
	}
}

// runUntil runs the events up to a time.
func (w *world) runUntil(end Time) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		e.run()
	}
}

// endOpenRequests ends the requests that are open at the end of the run, and counts the gateways that are
// not ready then.
func (w *world) endOpenRequests() {
	for _, g := range w.gateways {
		if g.up && !g.ready {
			w.recorder.neverReady++
		}
		g.endOpenRequests(Failed)
	}
	for _, at := range w.oracleRequests { // lost by failed hosts; the order does not matter, as only sums are recorded
		w.recorder.RecordEnd(at, Failed, 0)
	}
}

// longestDeadline returns the longest deadline of all classes.
func (s *Scenario) longestDeadline() (d time.Duration) {
	for _, c := range s.Classes {
		d = max(d, c.Deadline.std())
	}
	return d
}

// at schedules an event. An event for a time in the past runs at the present time.
func (w *world) at(t Time, run func()) {
	w.seq++
	w.queue.push(event{max(t, w.now), w.seq, run})
}

// after schedules an event that runs after d.
func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// addHost adds a host. At the start of the run the host is on the list at once. During the run the host
// starts at the present time and is on the list after the listing delay.
func (w *world) addHost(group *HostGroup) *Host {
	index := len(w.hosts)
	h := NewHost(index, fmt.Sprintf("s-%04d", index), group, w.scenario)
	if w.now > 0 {
		h.Started = w.now
	}
	w.hosts = append(w.hosts, h)
	w.nextCompletion = append(w.nextCompletion, 0)
	started := bramblelock.Time(0)
	if h.Started >= 0 {
		started = clockBase + h.Started
	}
	w.hostList = append(w.hostList, listEntry{host: bramblelock.Host{ID: hostID(h.ID), Zone: indexOf(w.zones, group.Zone), Kind: indexOf(w.kinds, group.Kind), Started: started}})
	if w.now == 0 {
		w.listVersion++
		w.hostList[index].version = w.listVersion
		w.hostList[index].listed = true
	} else {
		w.after(w.scenario.Catalog.ListingDelay.std(), func() { w.updateListing(index, bramblelock.Ready) })
	}
	return h
}

// clockBase is the time of the gateways' clock at the start of a run. It is not 0 because a start time of
// 0 means that a host started long ago.
const clockBase = 1000 * time.Hour

// hostID returns the numeric ID of a host for the Balancer.
func hostID(id string) bramblelock.HostID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return bramblelock.HostID(h.Sum64())
}

// updateListing updates the state and the start of a host on the list and sends the change to the open
// watches.
func (w *world) updateListing(index int, state bramblelock.HostState) {
	w.listVersion++
	e := &w.hostList[index]
	e.host.State = state
	e.version = w.listVersion
	e.listed = state != bramblelock.Removed
	if h := w.hosts[index]; h.Started >= 0 {
		e.host.Started = clockBase + h.Started
	}
	for _, c := range w.catalogs {
		c.sendUpdates()
	}
}

// oneWayDelay returns the latency of a message between two zones, with a random deviation of up to 20 %.
func (w *world) oneWayDelay(a, b int) time.Duration {
	d := w.scenario.Net.SameZone
	if a != b {
		d = w.scenario.Net.CrossZone
	}
	return time.Duration(float64(d) * (0.8 + 0.4*w.netRand.Float64()))
}

// advanceHost advances a host to the present time, schedules the answers of the jobs whose work is complete
// and schedules the next completion.
func (w *world) advanceHost(h *Host) {
	for _, j := range h.Advance(w.now) {
		w.after(j.WaitTime, func() {
			if h.Release(j) {
				j.Done(true)
			}
		})
	}
	if next := h.NextCompletion(); next != 0 && next != w.nextCompletion[h.Index] {
		w.nextCompletion[h.Index] = next
		w.at(next, func() {
			if w.nextCompletion[h.Index] == next {
				w.nextCompletion[h.Index] = 0
				w.advanceHost(h)
			}
		})
	}
}

// samplePending records how many requests each serving host holds. It runs once per bin.
func (w *world) samplePending() {
	w.pendingBuffer = w.pendingBuffer[:0]
	for _, h := range w.hosts {
		if h.Condition == Serving {
			w.pendingBuffer = append(w.pendingBuffer, h.Pending())
		}
	}
	w.recorder.RecordPending(w.now, w.pendingBuffer)
	if w.now < w.scenario.Length.std() {
		w.after(binWidth, w.samplePending)
	}
}

// handleArrival passes the request of a client to the gateway that the edge balancer picks, or to the
// oracle. If no gateway is admitted, or the picked one has exited, the request ends with NoLiveGateway.
func (w *world) handleArrival(a Arrival) {
	if w.oracle {
		w.dispatchOracle(a)
		return
	}
	rank := w.edgeBalancer.pick(a.GatewayQuantile)
	if rank < 0 || !w.gateways[rank].up {
		w.recorder.RecordEnd(a.At, NoLiveGateway, 0)
		return
	}
	g := w.gateways[rank]
	g.handle(func() { g.handleRequest(a) })
}
