package scale

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bramblelock/internal/fleetlab"
)

// Figure is what a gateway needs in the mean at both sizes, or the share of requests that is served, and its
// bound at the large size.
type Figure struct {
	Name    string  `json:"name"`
	Usual   float64 `json:"usual"`
	Large   float64 `json:"large"`
	Allowed float64 `json:"allowed"`
	AtLeast bool    `json:"at_least,omitempty"` // Allowed is the smallest value, not the largest
}

// OK reports whether the figure is within its bound.
func (f Figure) OK() bool {
	if f.AtLeast {
		return f.Large >= f.Allowed
	}
	return f.Large <= f.Allowed
}

// Report compares a day at two sizes.
type Report struct {
	Day     string             `json:"day"`
	Seed    uint64             `json:"seed"`
	Usual   Size               `json:"usual"`
	Large   Size               `json:"large"`
	Figures []Figure           `json:"figures"`
	Runs    [2]fleetlab.Result `json:"plays"` // at the usual and at the large size
}

// growth is how far a figure may grow from the usual size to the large one.
type growth struct {
	name             string
	factor           float64 // on the figure at the usual size
	constant         float64 // added to that
	perThousandHosts float64 // added for each thousand hosts of the large size
	get              func(*fleetlab.GatewayUsage) float64
}

// growths are the bounds that a fleet in service sets on the growth of a gateway's needs.
var growths = []growth{
	{"CPU s", 1.4, 0.02, 0.03, func(u *fleetlab.GatewayUsage) float64 { return u.CPUSeconds }},
	{"peak memory MB", 1.5, 8, 4, func(u *fleetlab.GatewayUsage) float64 { return u.PeakMemoryMB }},
	{"descriptors", 2, 40, 0, func(u *fleetlab.GatewayUsage) float64 { return u.Descriptors }},
	{"connections made", 2.5, 40, 0, func(u *fleetlab.GatewayUsage) float64 { return u.NewConns }},
	{"list bytes", 2, 64_000, 500_000, func(u *fleetlab.GatewayUsage) float64 { return u.ListBytes }},
}

// minServedRatio is the smallest share of requests served at the large size, over that at the usual size.
const minServedRatio = 0.85

// allowed returns the largest value at the large size.
func (g growth) allowed(usual float64, hosts int) float64 {
	return g.factor*usual + g.constant + g.perThousandHosts*float64(hosts)/1000
}

// newReport compares the runs of a day at the usual and at the large size.
func newReport(day Day, usual, large Size, runs [2]fleetlab.Result) *Report {
	r := &Report{Day: day.Name, Seed: runs[0].Seed, Usual: usual, Large: large, Runs: runs}
	for _, g := range growths {
		f := Figure{Name: g.name, Usual: g.get(runs[0].GatewayUsage), Large: g.get(runs[1].GatewayUsage)}
		f.Allowed = g.allowed(f.Usual, large.Hosts)
		r.Figures = append(r.Figures, f)
	}
	served := Figure{Name: "share served", Usual: runs[0].Requests.ServedPart, Large: runs[1].Requests.ServedPart, AtLeast: true}
	served.Allowed = minServedRatio * served.Usual
	r.Figures = append(r.Figures, served)
	return r
}

// Exceeded returns the number of figures beyond their bounds.
func (r *Report) Exceeded() int {
	count := 0
	for _, f := range r.Figures {
		if !f.OK() {
			count++
		}
	}
	return count
}

// Table prints the figures with their bounds.
func (r *Report) Table(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, seed %d\t%d hosts\t%d hosts\tallowed\t\n", r.Day, r.Seed, r.Usual.Hosts, r.Large.Hosts)
	fmt.Fprintf(w, "gateways (of them running)\t%d (%d)\t%d (%d)\t\t\n", r.Usual.Gateways, r.Usual.Running, r.Large.Gateways, r.Large.Running)
	for _, f := range r.Figures {
		bound, verdict := "at most", ""
		if f.AtLeast {
			bound = "at least"
		}
		if !f.OK() {
			verdict = "EXCEEDED"
		}
		fmt.Fprintf(w, "%s\t%.3g\t%.3g\t%s %.3g\t%s\n", f.Name, f.Usual, f.Large, bound, f.Allowed, verdict)
	}
	return w.Flush()
}
