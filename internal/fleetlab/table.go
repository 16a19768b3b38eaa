package fleetlab

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
)

// ResultFile is the content of a result file: one or more runs of a scenario, with different seeds or
// repeated.
type ResultFile struct {
	Runs []*Result `json:"plays"`
}

// Figure is a number of a Result with its name in tables.
type Figure struct {
	Name string
	Get  func(*Result) float64
}

// Figures lists the rows of tables and comparisons in their order.
var Figures = []Figure{
	{"ready p50 s", func(r *Result) float64 { return r.Ready.P50 }},
	{"ready p99 s", func(r *Result) float64 { return r.Ready.P99 }},
	{"ready max s", func(r *Result) float64 { return r.Ready.Max }},
	{"never ready", func(r *Result) float64 { return float64(r.Ready.Never) }},
	{"calls at catalogs", func(r *Result) float64 { return r.sumCatalogs(func(c CatalogFigures) int { return c.Calls }) }},
	{"... shed", func(r *Result) float64 { return r.sumCatalogs(func(c CatalogFigures) int { return c.Shed }) }},
	{"... busiest 100 ms", func(r *Result) float64 { return r.sumCatalogs(func(c CatalogFigures) int { return c.Busiest }) }},
	{"... busiest second", func(r *Result) float64 { return r.sumCatalogs(func(c CatalogFigures) int { return c.Second }) }},
	{"new connections", func(r *Result) float64 { return float64(r.Conns.New) }},
	{"... busiest 100 ms", func(r *Result) float64 { return float64(r.Conns.Busiest) }},
	{"... at one host", func(r *Result) float64 { return float64(r.Conns.OneHost) }},
	{"most open at a host", func(r *Result) float64 { return float64(r.Conns.MostOpen) }},
	{"turned away", func(r *Result) float64 { return float64(r.Conns.TurnedAway) }},
	{"hosts that fell", func(r *Result) float64 { return float64(r.OverloadFailures.Hosts) }},
	{"... by the told", func(r *Result) float64 { return float64(r.OverloadFailures.Told) }},
	{"requests sent", func(r *Result) float64 { return float64(r.Requests.Sent) }},
	{"served in time", func(r *Result) float64 { return float64(r.Requests.Served) }},
	{"late", func(r *Result) float64 { return float64(r.Requests.Late) }},
	{"refused", func(r *Result) float64 { return float64(r.Requests.Refused) }},
	{"failed", func(r *Result) float64 { return float64(r.Requests.Failed) }},
	{"lost", func(r *Result) float64 { return float64(r.Requests.Lost) }},
	{"no gateway", func(r *Result) float64 { return float64(r.Requests.NoGateway) }},
	{"served share", func(r *Result) float64 { return r.Requests.ServedPart }},
	{"answer p50 ms", func(r *Result) float64 { return r.Requests.P50MS }},
	{"answer p99 ms", func(r *Result) float64 { return r.Requests.P99MS }},
	{"requests a host: mean", func(r *Result) float64 { return r.Spread.Mean }},
	{"... min", func(r *Result) float64 { return float64(r.Spread.Min) }},
	{"... max/mean", func(r *Result) float64 { return r.Spread.MaxMean }},
	{"... CV", func(r *Result) float64 { return r.Spread.CV }},
	{"... CV of chance", func(r *Result) float64 { return r.Spread.Poisson }},
	{"... CV by speed", func(r *Result) float64 { return r.Spread.Utilised }},
	{"hosts under a fifth", func(r *Result) float64 { return float64(r.Spread.UnderFifth) }},
	{"hosts under a half", func(r *Result) float64 { return float64(r.Spread.UnderHalf) }},
	{"most pending", func(r *Result) float64 { return float64(r.Herd.Most) }},
	{"... median then", func(r *Result) float64 { return float64(r.Herd.Median) }},
	{"... 100 ms over 2 x median + 2", func(r *Result) float64 { return float64(r.Herd.Over) }},
}

// sumCatalogs returns the sum of a figure over all catalogs.
func (r *Result) sumCatalogs(get func(CatalogFigures) int) float64 {
	sum := 0
	for _, c := range r.Catalogs {
		sum += get(c)
	}
	return float64(sum)
}

// minMedianMax returns the minimum, median and maximum of a figure over the runs.
func (p *ResultFile) minMedianMax(f Figure) (least, median, most float64) {
	var values []float64
	for _, r := range p.Runs {
		values = append(values, f.Get(r))
	}
	slices.Sort(values)
	return values[0], values[len(values)/2], values[len(values)-1]
}

// Table prints the figures of a single run, or the median and range of several.
func (p *ResultFile) Table(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	r := p.Runs[0]
	fmt.Fprintf(w, "%s (%s)\t%d plays\t%d gateways, %d hosts, %g s\n", r.Scenario, r.Engine, len(p.Runs), r.Gateways, r.Hosts, r.LengthSeconds)
	for _, f := range Figures {
		least, median, most := p.minMedianMax(f)
		if len(p.Runs) == 1 {
			fmt.Fprintf(w, "%s\t%s\n", f.Name, formatNumber(median))
		} else {
			fmt.Fprintf(w, "%s\t%s\t%s to %s\n", f.Name, formatNumber(median), formatNumber(least), formatNumber(most))
		}
	}
	return w.Flush()
}

// Compare prints the median and range of the figures of two result files side by side.
func Compare(to io.Writer, a, b *ResultFile) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\tA: %s (%s)\t\tB: %s (%s)\t\tB/A\n", a.Runs[0].Scenario, a.Runs[0].Engine, b.Runs[0].Scenario, b.Runs[0].Engine)
	for _, f := range Figures {
		aMin, aMedian, aMax := a.minMedianMax(f)
		bMin, bMedian, bMax := b.minMedianMax(f)
		ratio := ""
		if aMedian != 0 {
			ratio = fmt.Sprintf("%.2f", bMedian/aMedian)
		}
		fmt.Fprintf(w, "%s\t%s\t%s to %s\t%s\t%s to %s\t%s\n", f.Name, formatNumber(aMedian), formatNumber(aMin), formatNumber(aMax), formatNumber(bMedian), formatNumber(bMin), formatNumber(bMax), ratio)
	}
	return w.Flush()
}

// formatNumber formats whole numbers in full and others with three significant digits.
func formatNumber(x float64) string {
	if x == float64(int64(x)) {
		return fmt.Sprintf("%d", int64(x))
	}
	return fmt.Sprintf("%.3g", x)
}

// Save writes a result file.
func (p *ResultFile) Save(path string) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// LoadResultFile reads a result file.
func LoadResultFile(path string) (*ResultFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := new(ResultFile)
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(p.Runs) == 0 {
		return nil, fmt.Errorf("%s: contains no runs", path)
	}
	return p, nil
}
