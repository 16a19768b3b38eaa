package catalogfleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"
)

// panicReporter is a FailureReporter that panics. RunExperiment recovers and returns the failure.
type panicReporter struct{ ctx context.Context }

func (panicReporter) Helper() {}

func (panicReporter) Fatalf(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

// sleep waits for d. It panics as Fatalf does, with the context's error, when the context ends before.
func (r panicReporter) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
		panic(r.ctx.Err())
	case <-time.After(d):
	}
}

// ExperimentResult holds the measurements of RunExperiment.
type ExperimentResult struct {
	Watchers        int     `json:"watchers"`
	FanoutP50MS     float64 `json:"fanout_p50_ms"` // from the answer that confirms a write to its receipt by the last watcher, over 3 instances
	FanoutP99MS     float64 `json:"fanout_p99_ms"`
	InstanceMB      float64 `json:"mb"`                 // resident memory of a single instance with all watches open
	Descriptors     int     `json:"descriptors"`        // open descriptors of the instance with all watches
	KBPerWatch      float64 `json:"kb_a_watch"`         // growth of the resident memory per watch
	LeaderKillP50MS float64 `json:"leader_kill_p50_ms"` // from the SIGKILL of the leader to the next confirmed write
	LeaderKillP99MS float64 `json:"leader_kill_p99_ms"`
}

// RunExperiment starts clusters of the given catalog binary with data folders below dataDir. It
// measures the fan-out of writes, the memory of watches and the failover time, the latter over the
// given number of kills of a leader. If kills is 0, it does not measure the failover. A failure of a
// cluster is returned as an error, and so is the end of ctx, which ends the experiment: at once while it
// measures, and within the 15 s of WaitForLeader while it waits for an election.
func RunExperiment(ctx context.Context, binary, dataDir string, watchers, writes, kills int) (result ExperimentResult, err error) {
	defer func() {
		if p := recover(); p != nil {
			e, ok := p.(error)
			if !ok {
				panic(p)
			}
			err = errors.Join(errors.New("catalog experiment"), e)
		}
	}()
	result.Watchers = watchers
	reporter := panicReporter{ctx}
	result.FanoutP50MS, result.FanoutP99MS = measureFanout(reporter, binary, filepath.Join(dataDir, "fanout"), watchers, writes)
	result.InstanceMB, result.Descriptors, result.KBPerWatch = measureWatchMemory(reporter, binary, filepath.Join(dataDir, "memory"), watchers)
	if kills > 0 {
		result.LeaderKillP50MS, result.LeaderKillP99MS = measureFailover(reporter, binary, filepath.Join(dataDir, "failover"), kills)
	}
	return result, nil
}

// measureFanout measures how long after the answer that confirms it a write reaches the last of
// watcherCount watchers, which are spread over 3 instances. If the last watcher receives it before the
// answer, the time is 0. It returns p50 and p99 over the writes in ms.
func measureFanout(reporter panicReporter, binary, dataDir string, watcherCount, writes int) (float64, float64) {
	c := NewCluster(reporter, binary, dataDir, 3)
	defer c.Close(nil)
	leader := c.HTTPAddr[c.WaitForLeader()]
	for i := 0; i < 100; i++ {
		PutMember(leader, fmt.Sprintf("s-%03d", i), `{"addr":"127.0.0.1:9000","zone":"a"}`)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchers := make([]*Watcher, watcherCount)
	for i := range watchers {
		watchers[i] = &Watcher{Addrs: []string{c.HTTPAddr[c.IDs[i%3]]}}
		go watchers[i].Run(ctx)
	}
	initialList, _ := FetchList(leader)
	for i := 0; i < 600; i++ {
		if _, ok := watchers[watcherCount-1].ReceivedAt(initialList.Version); ok {
			break
		}
		reporter.sleep(50 * time.Millisecond)
	}
	reporter.sleep(time.Second)
	var lags []time.Duration
	for i := 0; i < writes; i++ {
		version, ok := CommitMember(leader, fmt.Sprintf("s-%03d", i%100), fmt.Sprintf(`{"cell":%d}`, i+1))
		committedAt := time.Now()
		if !ok {
			reporter.Fatalf("a write was not committed")
		}
		var lastReceivedAt time.Time
		for _, w := range watchers {
			var receivedAt time.Time
			for j := 0; j < 1000; j++ {
				if receivedAt, ok = w.ReceivedAt(version); ok {
					break
				}
				reporter.sleep(5 * time.Millisecond)
			}
			if !ok {
				reporter.Fatalf("a watcher has not received version %d after 5 s", version)
			}
			lastReceivedAt = maxTime(lastReceivedAt, receivedAt)
		}
		lags = append(lags, max(0, lastReceivedAt.Sub(committedAt)))
		reporter.sleep(20 * time.Millisecond)
	}
	return quantileMS(lags, 0.5), quantileMS(lags, 0.99)
}

// measureWatchMemory opens watchCount watches on one instance. It returns the instance's resident
// memory in MB, its number of open descriptors, and the growth of its memory in kB per watch.
func measureWatchMemory(reporter panicReporter, binary, dataDir string, watchCount int) (float64, int, float64) {
	c := NewCluster(reporter, binary, dataDir, 1)
	defer c.Close(nil)
	addr := c.HTTPAddr[c.WaitForLeader()]
	for i := 0; i < 100; i++ {
		PutMember(addr, fmt.Sprintf("s-%03d", i), `{"addr":"127.0.0.1:9000","zone":"a"}`)
	}
	pid := c.Processes["c1"].Pid()
	initialRSS, _ := ProcessUsage(pid)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := 0; i < watchCount; i++ {
		go (&Watcher{Addrs: []string{addr}}).Run(ctx)
	}
	for i := 0; i < 600; i++ {
		if st, err := FetchStatus(addr); err == nil && st.Watches >= watchCount {
			break
		}
		reporter.sleep(50 * time.Millisecond)
	}
	reporter.sleep(2 * time.Second)
	rss, fds := ProcessUsage(pid)
	return float64(rss) / 1024, fds, float64(rss-initialRSS) / float64(watchCount)
}

// measureFailover repeatedly kills the leader of a cluster of 3 instances. It returns p50 and p99 in
// ms of the time to the next confirmed write.
func measureFailover(reporter panicReporter, binary, dataDir string, trials int) (float64, float64) {
	c := NewCluster(reporter, binary, dataDir, 3)
	defer c.Close(nil)
	var outages []time.Duration
	for trial := 0; trial < trials; trial++ {
		oldLeader := c.WaitForLeader()
		survivors := Without(c.IDs, oldLeader)
		c.Processes[oldLeader].Kill()
		killedAt := time.Now()
		for i := 0; ; i++ {
			if _, ok := CommitMember(c.HTTPAddr[survivors[rand.N(len(survivors))]], "s-f", fmt.Sprintf(`{"addr":"127.0.0.1:9000","cell":%d}`, trial)); ok {
				break
			}
			if i > 2000 {
				reporter.Fatalf("no write committed 20 s after the kill")
			}
			reporter.sleep(5 * time.Millisecond)
		}
		outages = append(outages, time.Since(killedAt))
		c.Start(oldLeader)
		want, _ := FetchList(c.HTTPAddr[c.WaitForLeader(survivors...)])
		for i := 0; i < 400; i++ {
			if l, code := FetchList(c.HTTPAddr[oldLeader]); code == 200 && l.Version >= want.Version {
				break
			}
			reporter.sleep(50 * time.Millisecond)
		}
	}
	return quantileMS(outages, 0.5), quantileMS(outages, 0.99)
}

// quantileMS sorts durations, of which there must be at least one, and returns their q-quantile in
// milliseconds.
func quantileMS(durations []time.Duration, q float64) float64 {
	slices.Sort(durations)
	return float64(durations[min(len(durations)-1, int(q*float64(len(durations))))]) / float64(time.Millisecond)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
