package fleetlab

import (
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
	r.catalogBytes = make([]int64, s.Catalog.Instances)
	r.catalogShed = make([]int, s.Catalog.Instances)
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
