package fleetlab

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

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
	GatewayUsage     *GatewayUsage    `json:"gateway_usage,omitempty"` // only of the real engine
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
	result := &Result{
		Scenario:         s.Name,
		Engine:           engine,
		Seed:             s.Seed,
		Gateways:         s.Gateways.Count,
		Hosts:            len(hosts),
		LengthSeconds:    s.Length.std().Seconds(),
		Ready:            r.readyFigures(),
		Conns:            r.connFigures(hosts),
		OverloadFailures: countOverloadFailures(hosts),
		Requests:         r.requestFigures(),
		Spread:           r.spreadFigures(hosts),
		Herd:             r.herd,
		Series:           r.series(),
	}
	for catalog := range r.callsByCatalog {
		result.Catalogs = append(result.Catalogs, r.catalogFigures(catalog))
	}
	return result
}

// quantileSeconds returns a quantile, from 0 to 100, of a histogram of microseconds.
func quantileSeconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1e6
}

// readyFigures returns the figures on the starts of gateways.
func (r *Recorder) readyFigures() Ready {
	return Ready{
		Starts: r.readyTimes.TotalCount(),
		Never:  r.neverReady,
		P50:    quantileSeconds(r.readyTimes, 50),
		P99:    quantileSeconds(r.readyTimes, 99),
		Max:    float64(r.readyTimes.Max()) / 1e6,
	}
}

// catalogFigures returns the figures on the calls at a catalog.
func (r *Recorder) catalogFigures(catalog int) CatalogFigures {
	const binsPerSecond = int(time.Second / binWidth)
	figures := CatalogFigures{Bytes: r.catalogBytes[catalog], Shed: r.catalogShed[catalog]}
	calls := r.callsByCatalog[catalog]
	for bin, n := range calls {
		figures.Calls += n
		figures.Busiest = max(figures.Busiest, n)
		lastSecond := 0
		for _, m := range calls[max(0, bin-binsPerSecond+1) : bin+1] {
			lastSecond += m
		}
		figures.Second = max(figures.Second, lastSecond)
	}
	return figures
}

// connFigures returns the figures on connections to hosts.
func (r *Recorder) connFigures(hosts []*Host) Conns {
	var figures Conns
	for _, n := range r.newConns {
		figures.Busiest = max(figures.Busiest, n)
	}
	for _, bins := range r.newConnsByHost {
		for _, n := range bins {
			figures.OneHost = max(figures.OneHost, n)
		}
	}
	open := 0
	for _, h := range hosts {
		figures.New += h.NewConns
		figures.TurnedAway += h.RejectedConns
		figures.MostOpen = max(figures.MostOpen, h.MaxOpenConns)
		open += h.openConns
	}
	figures.MeanOpen = float64(open) / float64(len(hosts))
	return figures
}

// countOverloadFailures counts the hosts that have failed by overload.
func countOverloadFailures(hosts []*Host) OverloadFailures {
	var failures OverloadFailures
	for _, h := range hosts {
		if !h.Overloaded {
			continue
		}
		failures.Hosts++
		if h.NotifiedShare > 2.0/3 {
			failures.Told++
		}
	}
	return failures
}

// requestFigures returns the figures on the requests of clients.
func (r *Recorder) requestFigures() Requests {
	ends := r.ends
	figures := Requests{
		Served:    ends[Served],
		Late:      ends[Late],
		Refused:   ends[Refused],
		Failed:    ends[Failed],
		Lost:      ends[Lost],
		NoGateway: ends[NoLiveGateway],
		P50MS:     quantileSeconds(r.latencies, 50) * 1e3,
		P99MS:     quantileSeconds(r.latencies, 99) * 1e3,
	}
	for _, n := range ends {
		figures.Sent += n
	}
	if reached := figures.Sent - ends[NoLiveGateway] - ends[Lost]; reached > 0 {
		figures.ServedPart = float64(ends[Served]) / float64(reached)
	}
	return figures
}

// spreadFigures returns how even the requests are over the hosts, from MeasureFrom on.
func (r *Recorder) spreadFigures(hosts []*Host) Spread {
	counts, countsBySpeed := make([]float64, len(hosts)), make([]float64, len(hosts))
	firstSecond := int(r.scenario.MeasureFrom.std() / time.Second)
	for i, h := range hosts {
		if i < len(r.requestsByHost) {
			for second, n := range r.requestsByHost[i] {
				if second >= firstSecond {
					counts[i] += float64(n)
				}
			}
		}
		countsBySpeed[i] = counts[i] / (h.Spec.Speed * float64(h.Spec.Cores))
	}
	spread := measureSpread(counts)
	spread.Utilised = measureSpread(countsBySpeed).CV
	return spread
}

// series returns the figures over time.
func (r *Recorder) series() Series {
	series := Series{BinMS: int(binWidth / time.Millisecond), Calls: r.callsByCatalog, NewConns: r.newConns, HostRequests: r.requestsByHost}
	for _, ends := range r.endsBySecond {
		sent := 0
		for _, n := range ends {
			sent += n
		}
		series.SentPerSecond = append(series.SentPerSecond, sent)
		series.ServedPerSecond = append(series.ServedPerSecond, ends[Served])
	}
	return series
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
