// Package flow distributes the traffic of several senders over receivers, of which each sender
// reaches only some, so that all receivers get the same load. It uses iterative proportional
// fitting of a sparse matrix. It is arithmetic only: the caller decides which sender reaches
// which receiver and what to do with the result.
package flow

// Edge is the traffic from one sender, that of the edge's row, to one receiver.
type Edge struct {
	To   int     // index of the receiver, from 0
	Rate float64 // traffic, in the unit of the senders' rates
}

// Balance sets the rates of the edges. Row i has the edges of sender i, one to each receiver that the
// sender reaches, and their rates will sum to rates[i]. receivers is the number of receivers. The
// traffic to each of them becomes as even as the rows allow. Each round caps the edges of a row at
// the fraction maxShare of its rate, or at an equal share if the row has too few edges for maxShare,
// and then scales the row back to its rate. This scaling can raise an edge above the cap, up to the
// whole rate of a row whose other receivers are overloaded. Balance runs the given number of rounds:
// with 30, the traffic to the receivers differs by a few hundredths of its mean on rows of three or
// four edges. Rows without an edge, or with a rate that is not above 0, are left unchanged; the rates
// of their edges still count as traffic to the receivers, so they should be 0. The rates should be
// within a factor of 1e9 of each other.
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
			for _, edge := range row {
				load[edge.To] += edge.Rate
			}
		}
		for i, row := range rows {
			if rates[i] > 0 {
				scale(row, load, sum/float64(reachable), rates[i], maxShare)
			}
		}
	}
}

// scale shifts the rates of a row toward the receivers whose load is below target, caps them as
// Balance describes, and then scales the row so that it sums to rate.
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
