package fleetlab

import "sort"

// edgeBalancer models the load balancer between clients and gateways: it distributes requests over the
// admitted gateways in proportion to their weights.
type edgeBalancer struct {
	weights    []float64
	admitted   []bool
	cumulative []float64 // cumulative weights of the admitted gateways; nil when outdated
}

// newEdgeBalancer returns an edge balancer that has admitted no gateway yet.
func newEdgeBalancer(s *Scenario) edgeBalancer {
	return edgeBalancer{weights: s.GatewayWeights(), admitted: make([]bool, s.Gateways.Count)}
}

// setAdmitted adds the gateway of a rank to the admitted ones or removes it.
func (balancer *edgeBalancer) setAdmitted(rank int, admitted bool) {
	if balancer.admitted[rank] != admitted {
		balancer.admitted[rank] = admitted
		balancer.cumulative = nil
	}
}

// pick returns the rank of the gateway at a quantile, from 0 to 1, of the weights of the admitted gateways,
// or -1 if no gateway is admitted.
func (balancer *edgeBalancer) pick(quantile float64) int {
	if balancer.cumulative == nil {
		balancer.cumulative = make([]float64, len(balancer.weights))
		sum := 0.0
		for i, weight := range balancer.weights {
			if balancer.admitted[i] {
				sum += weight
			}
			balancer.cumulative[i] = sum
		}
	}
	total := balancer.cumulative[len(balancer.cumulative)-1]
	if total == 0 {
		return -1
	}
	return min(sort.Search(len(balancer.cumulative), func(i int) bool { return balancer.cumulative[i] > quantile*total }), len(balancer.cumulative)-1)
}
