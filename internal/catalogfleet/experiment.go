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

// panicReporter ends an experiment at its first failure.
type panicReporter struct{}

func (panicReporter) Helper() {}

func (panicReporter) Fatalf(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

// ExperimentResult are those of an Experiment. Times are in milliseconds.
type ExperimentResult struct {
	Watchers        int     `json:"watchers"`
	FanoutP50MS     float64 `json:"fanout_p50_ms"` // commit to the last watcher, over 3 instances
	FanoutP99MS     float64 `json:"fanout_p99_ms"`
	InstanceMB      float64 `json:"mb"` // of one instance with all the watches
	Descriptors     int     `json:"descriptors"`
	KBPerWatch      float64 `json:"kb_a_watch"`
	LeaderKillP50MS float64 `json:"leader_kill_p50_ms"` // SIGKILL to the next committed write
	LeaderKillP99MS float64 `json:"leader_kill_p99_ms"`
}

// RunExperiment measures fan-out, memory of watches and failover of clusters of the catalog
// binary bin, with data below dir. Kills of 0 leaves the failover out.
func RunExperiment(bin, dir string, watchers, writes, kills int) (f ExperimentResult, err error) {
	defer func() {
		if p := recover(); p != nil {
			e, ok := p.(error)
			if !ok {
				panic(p)
			}
			err = errors.Join(errors.New("catalog experiment"), e)
		}
	}()
	f.Watchers = watchers
	f.FanoutP50MS, f.FanoutP99MS = measureFanout(bin, filepath.Join(dir, "fanout"), watchers, writes)
	f.InstanceMB, f.Descriptors, f.KBPerWatch = measureWatchMemory(bin, filepath.Join(dir, "memory"), watchers)
	if kills > 0 {
		f.LeaderKillP50MS, f.LeaderKillP99MS = measureFailover(bin, filepath.Join(dir, "failover"), kills)
	}
	return f, nil
}

// measureFanout times, for each of writes writes, the commit to the last of n watchers
// (spread over 3 instances) having it; it returns p50 and p99 in ms.
func measureFanout(bin, dir string, watcherCount, writes int) (float64, float64) {
	c := NewCluster(panicReporter{}, bin, dir, 3)
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
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var lags []time.Duration
	for i := 0; i < writes; i++ {
		v, ok := CommitMember(leader, fmt.Sprintf("s-%03d", i%100), fmt.Sprintf(`{"cell":%d}`, i+1))
		committedAt := time.Now()
		if !ok {
			panicReporter{}.Fatalf("a write failed")
		}
		var lastReceivedAt time.Time
		for _, w := range watchers {
			var receivedAt time.Time
			for j := 0; j < 1000; j++ {
				if receivedAt, ok = w.ReceivedAt(v); ok {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			if !ok {
				panicReporter{}.Fatalf("a Watcher lacks version %d after 5 s", v)
			}
			lastReceivedAt = maxTime(lastReceivedAt, receivedAt)
		}
		lags = append(lags, max(0, lastReceivedAt.Sub(committedAt)))
		time.Sleep(20 * time.Millisecond)
	}
	return quantileMS(lags, 0.5), quantileMS(lags, 0.99)
}

// measureWatchMemory opens n watches at one instance and returns its MB, descriptors, and
// kB a watch.
func measureWatchMemory(bin, dir string, watchCount int) (float64, int, float64) {
	c := NewCluster(panicReporter{}, bin, dir, 1)
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
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	rss, fds := ProcessUsage(pid)
	return float64(rss) / 1024, fds, float64(rss-initialRSS) / float64(watchCount)
}

// measureFailover kills the leader of 3 instances trials times and returns p50 and p99
// in ms of the time to the next committed write.
func measureFailover(bin, dir string, trials int) (float64, float64) {
	c := NewCluster(panicReporter{}, bin, dir, 3)
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
				panicReporter{}.Fatalf("no write committed 20 s after the kill")
			}
			time.Sleep(5 * time.Millisecond)
		}
		outages = append(outages, time.Since(killedAt))
		c.Start(oldLeader)
		want, _ := FetchList(c.HTTPAddr[c.WaitForLeader(survivors...)])
		for i := 0; i < 400; i++ {
			if l, code := FetchList(c.HTTPAddr[oldLeader]); code == 200 && l.Version >= want.Version {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return quantileMS(outages, 0.5), quantileMS(outages, 0.99)
}

// quantileMS returns the q-quantile of ds in milliseconds.
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
