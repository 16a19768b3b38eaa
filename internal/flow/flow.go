// Package flow distributes the traffic of several senders over receivers, of which each sender
// reaches only some, so that all receivers get the same load. It uses iterative proportional
// fitting of a sparse matrix. It is arithmetic only: the caller decides who reaches whom and
// what to do with the result.
package flow

// Edge is the traffic from one sender to one receiver.
type Edge struct {
	To   int     // index of the receiver
	Rate float64 // traffic, in the unit of the senders' rates
}

// Balance sets the rates of the edges. Each row has the edges of one sender, one to each receiver
// that the sender reaches, and sums to that sender's entry of rates. The sums per receiver, of
// which there are as many as receivers says, become as even as the rows allow. No edge gets more
// than the fraction maxShare of its row, as far as the row has enough edges for that. Balance runs
// the given number of rounds: with 30, the sums differ by a few hundredths on rows of three or
// four edges. Rows without an edge, or with a rate that is not above 0, are skipped. The rates
// should be within a factor of 1e9 of each other.
func Balance(rows [][]Edge, rates []float64, receivers int, maxShare float64, rounds int) {
	load, sum, reachable := make([]float64, receivers), 0.0, 0
	for i, row := range rows {
		if len(row) == 0 || !(rates[i] > 0) {
			continue
		}
		sum += rates[i]
		for k := range row {
			row[k].Rate = rates[i] / float64(len(row))
			if load[row[k].To] == 0 {
				reachable++
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
				scale(row, load, sum/float64(reachable), rates[i], maxShare)
			}
		}
	}
}

// scale shifts the rates of a row toward the receivers whose load is below target, keeping the
// sum of the row at rate.
func scale(row []Edge, load []float64, target, rate, maxShare float64) {
	sum := 0.0
	for k := range row {
		if l := load[row[k].To]; l > 0 {
			row[k].Rate *= target / l
		}
		sum += row[k].Rate
	}
	cappedSum := 0.0
	for k := range row {
		row[k].Rate = min(row[k].Rate*rate/sum, max(maxShare, 1/float64(len(row)))*rate)
		cappedSum += row[k].Rate
	}
	for k := range row {
		row[k].Rate *= rate / cappedSum
	}
}
