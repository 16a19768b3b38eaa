package flow

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// For random rows, each row keeps its sender's rate and every edge has a finite rate of at least
// 0. If every sender reaches every receiver, all receivers get the same load.
func TestBalanceKeepsEachRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "receivers")
		all := rapid.Bool().Draw(t, "every sender reaches every receiver")
		var rows [][]Edge
		var rates []float64
		for range rapid.IntRange(1, 12).Draw(t, "senders") {
			var row []Edge
			for to := range n {
				if all || rapid.Bool().Draw(t, "reaches") {
					row = append(row, Edge{To: to})
				}
			}
			rows, rates = append(rows, row), append(rates, rapid.SampledFrom([]float64{0, 0.01, 1, 3, 40, 1e6}).Draw(t, "rate"))
		}
		Balance(rows, rates, n, 0.5, 30)
		load, sum := make([]float64, n), 0.0
		for i, row := range rows {
			got := 0.0
			for _, p := range row {
				if !(p.Rate >= 0) || math.IsInf(p.Rate, 0) {
					t.Fatalf("row %d has a rate that is negative or not finite: %v", i, row)
				}
				got += p.Rate
				load[p.To] += p.Rate
			}
			if len(row) > 0 && math.Abs(got-rates[i]) > 1e-6*(1+rates[i]) {
				t.Fatalf("row %d sums to %v, want its sender's rate %v", i, got, rates[i])
			}
			sum += got
		}
		for to, l := range load {
			if all && math.Abs(l-sum/float64(n)) > 1e-6*(1+sum) {
				t.Fatalf("receiver %d gets %v, want an equal share of %v among %d", to, l, sum, n)
			}
		}
	})
}

// Quiet senders that share receivers with a busy sender shift their traffic to other receivers.
func TestBalanceOffsetsBusySender(t *testing.T) {
	rows := [][]Edge{{{To: 0}, {To: 1}, {To: 2}}, {{To: 1}, {To: 2}, {To: 3}}, {{To: 2}, {To: 3}, {To: 0}}}
	Balance(rows, []float64{6, 3, 3}, 4, 0.5, 30)
	load := make([]float64, 4)
	for _, row := range rows {
		for _, p := range row {
			load[p.To] += p.Rate
		}
	}
	for to, l := range load {
		if l < 2.8 || l > 3.2 {
			t.Errorf("receiver %d gets %.2f of 12, want 3", to, l)
		}
	}
}
