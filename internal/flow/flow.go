// Package flow spreads what several senders have over receivers that each can reach some
// of, so that all receivers get the same: iterative proportional fitting of a sparse matrix.
// It is arithmetic only; who reaches whom, and what becomes of the answer, is its caller's.
package flow

// Edge is what one sender sends to one receiver. To numbers the receiver.
type Edge struct {
	To   int
	Rate float64
}

// Balance sets the rates of the rows, one a sender with an Edge for each receiver that it
// reaches, so that each row sums to its sender's rate and the sums over receivers 0 to n-1
// are as even as the rows allow. No receiver gets more than the share most of a row, where
// the row has receivers enough. It does so many rounds: 30 bring the sums within some
// hundredths of each other on rows of three or four. A row with no part, or a rate that is
// not above 0, is left out; rates should lie within 1e9 of each other.
func Balance(rows [][]Edge, rates []float64, n int, most float64, rounds int) {
	load, sum, reached := make([]float64, n), 0.0, 0
	for i, row := range rows {
		if len(row) == 0 || !(rates[i] > 0) {
			continue
		}
		sum += rates[i]
		for k := range row {
			row[k].Rate = rates[i] / float64(len(row))
			if load[row[k].To] == 0 {
				reached++
			}
			load[row[k].To]++
		}
	}
	for range rounds {
		clear(load)
		for _, row := range rows {
			for _, p := range row {
				load[p.To] += p.Rate
			}
		}
		for i, row := range rows {
			if rates[i] > 0 {
				scale(row, load, sum/float64(reached), rates[i], most)
			}
		}
	}
}

// scale moves a row toward receivers that get less than they should.
func scale(row []Edge, load []float64, should, rate, most float64) {
	sum := 0.0
	for k := range row {
		if l := load[row[k].To]; l > 0 {
			row[k].Rate *= should / l
		}
		sum += row[k].Rate
	}
	left := 0.0
	for k := range row {
		row[k].Rate = min(row[k].Rate*rate/sum, max(most, 1/float64(len(row)))*rate)
		left += row[k].Rate
	}
	for k := range row {
		row[k].Rate *= rate / left
	}
}
