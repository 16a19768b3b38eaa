package fleetlab

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// binWidth is the width of the windows in which peaks are counted.
const binWidth = 100 * time.Millisecond

// End is how a client's request ended.
type End uint8

// Ends of a request.
const (
	Served        End = iota // within its aim
	Late                     // served after its aim
	Refused                  // turned away
	Failed                   // an error, or no answer within its time
	Lost                     // its gateway died or closed on it
	NoLiveGateway            // no gateway took it
	numEnds
)

// Recorder collects what happens in a play; Result gives the figures. It is not safe for
// concurrent use.
type Recorder struct {
	scenario   *Scenario
	readyTimes *hdrhistogram.Histogram // microseconds from a gateway's start
	latencies  *hdrhistogram.Histogram // microseconds of served requests
	neverReady int                     // gateways that had not become ready at the end

	callsByCatalog [][]int // at each catalog, by bin
	catalogBytes   []int64
	catalogShed    []int
	newConns       []int   // at all hosts, by bin
	newConnsByHost [][]int // host, bin: for the busiest at one host
	requestsByHost [][]int // requests taken, by host and second, within the measured part
	ends           [numEnds]int
	endsBySecond   [][numEnds]int // by second of arrival
	herd           Herd
	sortBuffer     []int
}

// NewRecorder returns a Recorder for hosts and catalogs of a scenario.
func NewRecorder(s *Scenario) *Recorder {
	r := &Recorder{scenario: s, readyTimes: hdrhistogram.New(1, 3_600_000_000, 3), latencies: hdrhistogram.New(1, 60_000_000, 3)}
	r.callsByCatalog = make([][]int, s.Catalog.Instances)
	r.catalogBytes, r.catalogShed = make([]int64, s.Catalog.Instances), make([]int, s.Catalog.Instances)
	return r
}

// addToBin counts one into the window of at; what falls outside of the play is left out.
func addToBin(bins []int, at Time, width time.Duration, n int) []int {
	i := int(at / width)
	if at < 0 || i > 1<<20 {
		return bins
	}
	for len(bins) <= i {
		bins = append(bins, 0)
	}
	bins[i] += n
	return bins
}

// RecordGatewayReady notes how long a gateway took from its start until it could serve.
func (r *Recorder) RecordGatewayReady(took time.Duration) {
	r.readyTimes.RecordValue(max(1, took.Microseconds()))
}

// RecordCall notes one call at a catalog; shed says that it was turned away.
func (r *Recorder) RecordCall(catalog int, at Time, bytes int, shed bool) {
	r.callsByCatalog[catalog] = addToBin(r.callsByCatalog[catalog], at, binWidth, 1)
	r.catalogBytes[catalog] += int64(bytes)
	if shed {
		r.catalogShed[catalog]++
	}
}

// RecordNewConn notes a connection that a host accepted or turned away.
func (r *Recorder) RecordNewConn(host int, at Time) {
	r.newConns = addToBin(r.newConns, at, binWidth, 1)
	for len(r.newConnsByHost) <= host {
		r.newConnsByHost = append(r.newConnsByHost, nil)
	}
	r.newConnsByHost[host] = addToBin(r.newConnsByHost[host], at, binWidth, 1)
}

// RecordHostRequest notes a request that reached a host.
func (r *Recorder) RecordHostRequest(host int, at Time) {
	for len(r.requestsByHost) <= host {
		r.requestsByHost = append(r.requestsByHost, nil)
	}
	r.requestsByHost[host] = addToBin(r.requestsByHost[host], at, time.Second, 1)
}

// RecordEnd notes how a request that arrived at a time ended.
func (r *Recorder) RecordEnd(arrived Time, end End, took time.Duration) {
	i := int(arrived / time.Second)
	for len(r.endsBySecond) <= i {
		r.endsBySecond = append(r.endsBySecond, [numEnds]int{})
	}
	r.endsBySecond[i][end]++
	if arrived < r.scenario.MeasureFrom.std() {
		return
	}
	r.ends[end]++
	if end == Served || end == Late {
		r.latencies.RecordValue(max(1, took.Microseconds()))
	}
}

// RecordPending notes how many requests each serving host holds, once a bin.
func (r *Recorder) RecordPending(at Time, pending []int) {
	if at < r.scenario.MeasureFrom.std() || len(pending) == 0 {
		return
	}
	r.sortBuffer = append(r.sortBuffer[:0], pending...)
	slices.Sort(r.sortBuffer)
	most, median := r.sortBuffer[len(r.sortBuffer)-1], r.sortBuffer[len(r.sortBuffer)/2]
	r.herd.Windows++
	if most > 2*median+2 {
		r.herd.Over++
	}
	if excess := most - (2*median + 2); r.herd.Windows == 1 || excess > r.herd.worst {
		r.herd = Herd{Windows: r.herd.Windows, Over: r.herd.Over, Most: most, Median: median, AtS: at.Seconds(), worst: excess}
	}
}

// Result is what a play gave. Times are in seconds or, where the name says so, in
// milliseconds; shares run from 0 to 1.
type Result struct {
	Scenario      string  `json:"scenario"`
	Engine        string  `json:"engine"` // virtual, real or oracle
	Seed          uint64  `json:"seed"`
	Gateways      int     `json:"gateways"`
	Hosts         int     `json:"hosts"`
	LengthSeconds float64 `json:"length_s"`

	Ready    Ready            `json:"ready"`
	Catalogs []CatalogFigures `json:"catalogs"`
	Conns    Conns            `json:"connections"`
	Falls    Falls            `json:"falls"`
	Requests Requests         `json:"requests"`
	Spread   Spread           `json:"spread"`
	Herd     Herd             `json:"herd"`
	Series   Series           `json:"series"`
}

// Ready is how long gateways took from their start until they could serve.
type Ready struct {
	Starts int64   `json:"starts"` // that became ready
	Never  int     `json:"never"`
	P50    float64 `json:"p50_s"`
	P99    float64 `json:"p99_s"`
	Max    float64 `json:"max_s"`
}

// CatalogFigures is what reached one catalog.
type CatalogFigures struct {
	Calls   int   `json:"calls"`
	Busiest int   `json:"busiest_100ms"`
	Second  int   `json:"busiest_second"`
	Bytes   int64 `json:"bytes"`
	Shed    int   `json:"shed"`
	RSSKB   int   `json:"rss_kb,omitempty"` // real only, at the end
	FDs     int   `json:"descriptors,omitempty"`
}

// Conns is the connections to hosts.
type Conns struct {
	New        int     `json:"new"`
	Busiest    int     `json:"busiest_100ms"`          // at all hosts
	OneHost    int     `json:"busiest_100ms_one_host"` // at one host
	MostOpen   int     `json:"most_open_one_host"`
	MeanOpen   float64 `json:"mean_open_at_end"`
	TurnedAway int     `json:"turned_away"`
}

// Falls is the cold hosts that were pushed over.
type Falls struct {
	Hosts int `json:"hosts"`
	Told  int `json:"told"` // ... over two thirds of it by gateways that had been told: the rule is broken
}

// Requests counts clients' requests that arrived in the measured part by their end.
type Requests struct {
	Sent       int     `json:"sent"`
	Served     int     `json:"served"` // within the aim
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	Lost       int     `json:"lost"`
	NoGateway  int     `json:"no_gateway"`
	ServedPart float64 `json:"served_share"` // of those that reached a live gateway
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
}

// Spread is how evenly requests reach hosts, in the measured part.
type Spread struct {
	Min        int     `json:"min"`
	Mean       float64 `json:"mean"`
	MaxMean    float64 `json:"max_over_mean"`
	CV         float64 `json:"cv"`
	Poisson    float64 `json:"cv_poisson"` // of chance alone
	UnderFifth int     `json:"hosts_under_fifth"`
	UnderHalf  int     `json:"hosts_under_half"`
	Utilised   float64 `json:"cv_utilisation"` // of requests over the host's speed x cores
}

// Herd is the worst 100 ms by what the fullest host holds beside the median.
type Herd struct {
	Windows int     `json:"windows"`
	Over    int     `json:"windows_over"` // in which some host held over 2 x median + 2
	Most    int     `json:"most"`
	Median  int     `json:"median"`
	AtS     float64 `json:"at_s"`
	worst   int
}

// Series are the figures over time, for plots.
type Series struct {
	BinMS           int     `json:"bin_ms"`
	Calls           [][]int `json:"calls"`     // by catalog and bin
	NewConns        []int   `json:"new_conns"` // by bin
	HostRequests    [][]int `json:"host_requests_a_second"`
	ServedPerSecond []int   `json:"served_a_second"`
	SentPerSecond   []int   `json:"sent_a_second"`
}

// Result computes the figures at the end of a play.
func (r *Recorder) Result(engine string, hosts []*Host) *Result {
	s := r.scenario
	out := &Result{Scenario: s.Name, Engine: engine, Seed: s.Seed, Gateways: s.Gateways.Count, Hosts: len(hosts), LengthSeconds: s.Length.std().Seconds()}
	quantile := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 }
	out.Ready = Ready{Starts: r.readyTimes.TotalCount(), Never: r.neverReady, P50: quantile(r.readyTimes, 50), P99: quantile(r.readyTimes, 99), Max: float64(r.readyTimes.Max()) / 1e6}
	for i := range r.callsByCatalog {
		c := CatalogFigures{Bytes: r.catalogBytes[i], Shed: r.catalogShed[i]}
		for k, n := range r.callsByCatalog[i] {
			c.Calls += n
			c.Busiest = max(c.Busiest, n)
			second := 0
			for _, m := range r.callsByCatalog[i][max(0, k-9) : k+1] {
				second += m
			}
			c.Second = max(c.Second, second)
		}
		out.Catalogs = append(out.Catalogs, c)
	}
	openConns := 0
	for _, n := range r.newConns {
		out.Conns.Busiest = max(out.Conns.Busiest, n)
	}
	for _, list := range r.newConnsByHost {
		for _, n := range list {
			out.Conns.OneHost = max(out.Conns.OneHost, n)
		}
	}
	for _, h := range hosts {
		out.Conns.New += h.NewConns
		out.Conns.TurnedAway += h.RejectedConns
		out.Conns.MostOpen = max(out.Conns.MostOpen, h.MaxOpenConns)
		openConns += h.openConns
		if h.Overloaded {
			out.Falls.Hosts++
			if h.NotifiedShare > 2.0/3 {
				out.Falls.Told++
			}
		}
	}
	out.Conns.MeanOpen = float64(openConns) / float64(len(hosts))
	e := r.ends
	out.Requests = Requests{Served: e[Served], Late: e[Late], Refused: e[Refused], Failed: e[Failed], Lost: e[Lost], NoGateway: e[NoLiveGateway],
		P50MS: quantile(r.latencies, 50) * 1e3, P99MS: quantile(r.latencies, 99) * 1e3}
	for _, n := range e {
		out.Requests.Sent += n
	}
	if reached := out.Requests.Sent - e[NoLiveGateway] - e[Lost]; reached > 0 {
		out.Requests.ServedPart = float64(e[Served]) / float64(reached)
	}
	counts, countsBySpeed := make([]float64, len(hosts)), make([]float64, len(hosts))
	firstSecond := int(s.MeasureFrom.std() / time.Second)
	for i, h := range hosts {
		if i < len(r.requestsByHost) {
			for sec, n := range r.requestsByHost[i] {
				if sec >= firstSecond {
					counts[i] += float64(n)
				}
			}
		}
		countsBySpeed[i] = counts[i] / (h.Spec.Speed * float64(h.Spec.Cores))
	}
	out.Spread = measureSpread(counts)
	out.Spread.Utilised = measureSpread(countsBySpeed).CV
	out.Herd = r.herd
	out.Series = Series{BinMS: int(binWidth / time.Millisecond), Calls: r.callsByCatalog, NewConns: r.newConns, HostRequests: r.requestsByHost}
	for _, e := range r.endsBySecond {
		sent := 0
		for _, n := range e {
			sent += n
		}
		out.Series.SentPerSecond = append(out.Series.SentPerSecond, sent)
		out.Series.ServedPerSecond = append(out.Series.ServedPerSecond, e[Served])
	}
	return out
}

// measureSpread measures how even counts are.
func measureSpread(counts []float64) Spread {
	n, sum := float64(len(counts)), 0.0
	for _, c := range counts {
		sum += c
	}
	if sum == 0 {
		return Spread{UnderFifth: len(counts), UnderHalf: len(counts)}
	}
	out := Spread{Mean: sum / n, Min: int(slices.Min(counts)), Poisson: 1 / math.Sqrt(sum/n)}
	squares := 0.0
	for _, c := range counts {
		squares += (c - out.Mean) * (c - out.Mean)
		out.MaxMean = max(out.MaxMean, c/out.Mean)
		if c < out.Mean/5 {
			out.UnderFifth++
		}
		if c < out.Mean/2 {
			out.UnderHalf++
		}
	}
	out.CV = math.Sqrt(squares/n) / out.Mean
	return out
}
