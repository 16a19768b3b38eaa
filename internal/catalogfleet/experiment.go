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

// broken ends an experiment at its first failure.
type broken struct{}

func (broken) Helper() {}

func (broken) Fatalf(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

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
	f.FanoutP50MS, f.FanoutP99MS = fanout(bin, filepath.Join(dir, "fanout"), watchers, writes)
	f.InstanceMB, f.Descriptors, f.KBPerWatch = memory(bin, filepath.Join(dir, "memory"), watchers)
	if kills > 0 {
		f.LeaderKillP50MS, f.LeaderKillP99MS = failover(bin, filepath.Join(dir, "failover"), kills)
	}
	return f, nil
}

// fanout times, for each of writes writes, the commit to the last of n watchers
// (spread over 3 instances) having it; it returns p50 and p99 in ms.
func fanout(bin, dir string, n, writes int) (float64, float64) {
	c := NewCluster(broken{}, bin, dir, 3)
	defer c.Close(nil)
	leader := c.HTTPAddr[c.WaitForLeader()]
	for i := 0; i < 100; i++ {
		PutMember(leader, fmt.Sprintf("s-%03d", i), `{"addr":"127.0.0.1:9000","zone":"a"}`)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ws := make([]*Watcher, n)
	for i := range ws {
		ws[i] = &Watcher{Addrs: []string{c.HTTPAddr[c.IDs[i%3]]}}
		go ws[i].Run(ctx)
	}
	base, _ := FetchList(leader)
	for i := 0; i < 600; i++ {
		if _, ok := ws[n-1].ReceivedAt(base.Version); ok {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var lags []time.Duration
	for i := 0; i < writes; i++ {
		v, ok := CommitMember(leader, fmt.Sprintf("s-%03d", i%100), fmt.Sprintf(`{"cell":%d}`, i+1))
		done := time.Now()
		if !ok {
			broken{}.Fatalf("a write failed")
		}
		var last time.Time
		for _, w := range ws {
			var at time.Time
			for j := 0; j < 1000; j++ {
				if at, ok = w.ReceivedAt(v); ok {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			if !ok {
				broken{}.Fatalf("a Watcher lacks version %d after 5 s", v)
			}
			last = maxTime(last, at)
		}
		lags = append(lags, max(0, last.Sub(done)))
		time.Sleep(20 * time.Millisecond)
	}
	return pct(lags, 0.5), pct(lags, 0.99)
}

// memory opens n watches at one instance and returns its MB, descriptors, and
// kB a watch.
func memory(bin, dir string, n int) (float64, int, float64) {
	c := NewCluster(broken{}, bin, dir, 1)
	defer c.Close(nil)
	addr := c.HTTPAddr[c.WaitForLeader()]
	for i := 0; i < 100; i++ {
		PutMember(addr, fmt.Sprintf("s-%03d", i), `{"addr":"127.0.0.1:9000","zone":"a"}`)
	}
	pid := c.Processes["c1"].Pid()
	rss0, _ := ProcessUsage(pid)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := 0; i < n; i++ {
		go (&Watcher{Addrs: []string{addr}}).Run(ctx)
	}
	for i := 0; i < 600; i++ {
		if st, err := FetchStatus(addr); err == nil && st.Watches >= n {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	rss, fds := ProcessUsage(pid)
	return float64(rss) / 1024, fds, float64(rss-rss0) / float64(n)
}

// failover kills the leader of 3 instances trials times and returns p50 and p99
// in ms of the time to the next committed write.
func failover(bin, dir string, trials int) (float64, float64) {
	c := NewCluster(broken{}, bin, dir, 3)
	defer c.Close(nil)
	var gaps []time.Duration
	for trial := 0; trial < trials; trial++ {
		old := c.WaitForLeader()
		rest := Without(c.IDs, old)
		c.Processes[old].Kill()
		killed := time.Now()
		for i := 0; ; i++ {
			if _, ok := CommitMember(c.HTTPAddr[rest[rand.N(len(rest))]], "s-f", fmt.Sprintf(`{"addr":"127.0.0.1:9000","cell":%d}`, trial)); ok {
				break
			}
			if i > 2000 {
				broken{}.Fatalf("no write committed 20 s after the kill")
			}
			time.Sleep(5 * time.Millisecond)
		}
		gaps = append(gaps, time.Since(killed))
		c.Start(old)
		want, _ := FetchList(c.HTTPAddr[c.WaitForLeader(rest...)])
		for i := 0; i < 400; i++ {
			if l, code := FetchList(c.HTTPAddr[old]); code == 200 && l.Version >= want.Version {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return pct(gaps, 0.5), pct(gaps, 0.99)
}

// pct returns the q-quantile of ds in milliseconds.
func pct(ds []time.Duration, q float64) float64 {
	slices.Sort(ds)
	return float64(ds[min(len(ds)-1, int(q*float64(len(ds))))]) / float64(time.Millisecond)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
