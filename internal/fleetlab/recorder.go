package fleetlab

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// binWidth is the width of the time bins in which peaks are counted.
const binWidth = 100 * time.Millisecond

// Engine is what runs a scenario.
type Engine string

// Engines.
const (
	EngineVirtual Engine = "virtual" // Virtual
	EngineOracle  Engine = "oracle"  // Oracle
	EngineReal    Engine = "real"    // Real
)

// End is how the request of a client ended.
type End uint8

// Ends of a request.
const (
	Served        End = iota // answered within the latency target
	Late                     // answered after the latency target
	Refused                  // refused, and the client does not retry
	Failed                   // answered with an error, or not answered before the deadline
	Lost                     // the gateway died or closed the connection
	NoLiveGateway            // no gateway accepted it
	numEnds
)

// Recorder collects the events of a run. Result returns the figures. It is not safe for concurrent use.
type Recorder struct {
	scenario   *Scenario
	readyTimes *hdrhistogram.Histogram // microseconds from the start of a gateway until it is ready
	latencies  *hdrhistogram.Histogram // microseconds until the answers of served and late requests
	neverReady int                     // gateways that were not ready at the end

	callsByCatalog [][]int        // by catalog and bin
	catalogBytes   []int64        // bytes sent to the gateways, by catalog
	catalogShed    []int          // calls that were not served, by catalog
	newConns       []int          // at all hosts, by bin
	newConnsByHost [][]int        // by host and bin
	requestsByHost [][]int        // attempts that reached a host, by host and second
	ends           [numEnds]int   // of requests that arrived from MeasureFrom on
	endsBySecond   [][numEnds]int // of all requests, by second of arrival
	herd           Herd
	sortBuffer     []int // reused by RecordPending
}

// NewRecorder returns a Recorder for a run of a scenario.
func NewRecorder(s *Scenario) *Recorder {
	r := &Recorder{scenario: s, readyTimes: hdrhistogram.New(1, 3_600_000_000, 3), latencies: hdrhistogram.New(1, 60_000_000, 3)}
	r.callsByCatalog = make([][]int, s.Catalog.Instances)
	r.catalogBytes, r.catalogShed = make([]int64, s.Catalog.Instances), make([]int, s.Catalog.Instances)
	return r
}

// addToBin adds n to the bin of a time, and lengthens bins as needed. It ignores negative times and those
// beyond 1<<20 bins.
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

// RecordGatewayReady records the time from the start of a gateway until it was ready.
func (r *Recorder) RecordGatewayReady(elapsed time.Duration) {
	r.readyTimes.RecordValue(max(1, elapsed.Microseconds()))
}

// RecordCall records a call at a catalog that sends a number of bytes in answer. shed says that the catalog
// did not serve the call.
func (r *Recorder) RecordCall(catalog int, at Time, bytes int, shed bool) {
	r.callsByCatalog[catalog] = addToBin(r.callsByCatalog[catalog], at, binWidth, 1)
	r.catalogBytes[catalog] += int64(bytes)
	if shed {
		r.catalogShed[catalog]++
	}
}

// RecordNewConn records a connection to a host, whether or not the host accepts it.
func (r *Recorder) RecordNewConn(host int, at Time) {
	r.newConns = addToBin(r.newConns, at, binWidth, 1)
	for len(r.newConnsByHost) <= host {
		r.newConnsByHost = append(r.newConnsByHost, nil)
	}
	r.newConnsByHost[host] = addToBin(r.newConnsByHost[host], at, binWidth, 1)
}

// RecordHostRequest records an attempt that reached a host.
func (r *Recorder) RecordHostRequest(host int, at Time) {
	for len(r.requestsByHost) <= host {
		r.requestsByHost = append(r.requestsByHost, nil)
	}
	r.requestsByHost[host] = addToBin(r.requestsByHost[host], at, time.Second, 1)
}

// RecordEnd records how a request ended. arrived is the time of its arrival, elapsed the time until its
// answer, which counts only for the ends Served and Late.
func (r *Recorder) RecordEnd(arrived Time, end End, elapsed time.Duration) {
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
		r.latencies.RecordValue(max(1, elapsed.Microseconds()))
	}
}

// RecordPending records how many requests each serving host holds. It is called once per bin.
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

// Result holds the figures of a run. Times are in seconds unless the name gives another unit. Shares are
// between 0 and 1.
type Result struct {
	Scenario      string  `json:"scenario"`
	Engine        Engine  `json:"engine"`
	Seed          uint64  `json:"seed"`
	Gateways      int     `json:"gateways"`
	Hosts         int     `json:"hosts"`
	LengthSeconds float64 `json:"length_s"`

	Ready            Ready            `json:"ready"`
	Catalogs         []CatalogFigures `json:"catalogs"`
	Conns            Conns            `json:"connections"`
	OverloadFailures OverloadFailures `json:"falls"`
	Requests         Requests         `json:"requests"`
	Spread           Spread           `json:"spread"`
	Herd             Herd             `json:"herd"`
	Series           Series           `json:"series"`
}

// Ready holds the times from the start of a gateway until it was ready.
type Ready struct {
	Starts int64   `json:"starts"` // starts after which the gateway became ready
	Never  int     `json:"never"`  // gateways that were not ready at the end
	P50    float64 `json:"p50_s"`
	P99    float64 `json:"p99_s"`
	Max    float64 `json:"max_s"`
}

// CatalogFigures holds the load of one catalog.
type CatalogFigures struct {
	Calls   int   `json:"calls"`
	Busiest int   `json:"busiest_100ms"`         // calls in the busiest 100 ms
	Second  int   `json:"busiest_second"`        // calls in the busiest second
	Bytes   int64 `json:"bytes"`                 // sent to the gateways
	Shed    int   `json:"shed"`                  // calls that were not served
	RSSKB   int   `json:"rss_kb,omitempty"`      // resident memory in kB at the end; only of the real engine
	FDs     int   `json:"descriptors,omitempty"` // open file descriptors at the end; only of the real engine
}

// Conns holds the figures of the connections to hosts.
type Conns struct {
	New        int     `json:"new"`
	Busiest    int     `json:"busiest_100ms"`          // new connections at all hosts in the busiest 100 ms
	OneHost    int     `json:"busiest_100ms_one_host"` // new connections at one host in the busiest 100 ms
	MostOpen   int     `json:"most_open_one_host"`     // largest number of open connections of a host
	MeanOpen   float64 `json:"mean_open_at_end"`       // mean number of open connections of a host
	TurnedAway int     `json:"turned_away"`            // connections that hosts rejected
}

// OverloadFailures counts the cold hosts that failed by overload.
type OverloadFailures struct {
	Hosts int `json:"hosts"`
	Told  int `json:"told"` // hosts for which over two thirds of the overload came from gateways whose list had the start of the host: a violation
}

// Requests counts the requests of clients that arrived in the measured period, by their End.
type Requests struct {
	Sent       int     `json:"sent"`
	Served     int     `json:"served"` // answered within the latency target
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	Lost       int     `json:"lost"`
	NoGateway  int     `json:"no_gateway"`
	ServedPart float64 `json:"served_share"` // Served as a share of Sent less Lost and NoGateway: the requests that reached a live gateway
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
}

// Spread holds how evenly attempts were distributed over the hosts in the measured period.
type Spread struct {
	Min        int     `json:"min"`               // smallest number of attempts that reached a host
	Mean       float64 `json:"mean"`              // mean number of attempts per host
	MaxMean    float64 `json:"max_over_mean"`     // largest number of attempts that reached a host, over the mean
	CV         float64 `json:"cv"`                // coefficient of variation of the attempts per host
	Poisson    float64 `json:"cv_poisson"`        // coefficient of variation of a Poisson distribution with this mean
	UnderFifth int     `json:"hosts_under_fifth"` // hosts with less than a fifth of the mean
	UnderHalf  int     `json:"hosts_under_half"`  // hosts with less than half of the mean
	Utilised   float64 `json:"cv_utilisation"`    // coefficient of variation of the attempts per host over Speed * Cores
}

// Herd compares the host with the most pending requests with the median host, in one sample per 100 ms. It
// holds the sample in which that host was furthest above 2 * median + 2 requests.
type Herd struct {
	Windows int     `json:"windows"`      // number of samples
	Over    int     `json:"windows_over"` // samples in which some host held over 2 * median + 2 requests
	Most    int     `json:"most"`         // largest number of pending requests of a host in that sample
	Median  int     `json:"median"`       // median number of pending requests of a host in that sample
	AtS     float64 `json:"at_s"`         // time of that sample in seconds
	worst   int     // excess of Most over 2 * Median + 2
}

// Series holds the figures over time, for plots.
type Series struct {
	BinMS           int     `json:"bin_ms"`                 // width of a bin in milliseconds
	Calls           [][]int `json:"calls"`                  // by catalog and bin
	NewConns        []int   `json:"new_conns"`              // by bin
	HostRequests    [][]int `json:"host_requests_a_second"` // attempts that reached a host, by host and second
	ServedPerSecond []int   `json:"served_a_second"`        // served requests, by second of arrival
	SentPerSecond   []int   `json:"sent_a_second"`          // requests, by second of arrival
}

// Result computes the figures at the end of a run.
func (r *Recorder) Result(engine Engine, hosts []*Host) *Result {
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
			out.OverloadFailures.Hosts++
			if h.NotifiedShare > 2.0/3 {
				out.OverloadFailures.Told++
			}
		}
	}
	out.Conns.MeanOpen = float64(openConns) / float64(len(hosts))
	ends := r.ends
	out.Requests = Requests{Served: ends[Served], Late: ends[Late], Refused: ends[Refused], Failed: ends[Failed], Lost: ends[Lost], NoGateway: ends[NoLiveGateway],
		P50MS: quantile(r.latencies, 50) * 1e3, P99MS: quantile(r.latencies, 99) * 1e3}
	for _, n := range ends {
		out.Requests.Sent += n
	}
	if reached := out.Requests.Sent - ends[NoLiveGateway] - ends[Lost]; reached > 0 {
		out.Requests.ServedPart = float64(ends[Served]) / float64(reached)
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

// measureSpread measures how even the counts of the hosts are. It does not set Utilised, and sets only
// UnderFifth and UnderHalf if all counts are 0.
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
