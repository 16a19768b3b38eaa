package fleetlab

// faultTargets selects the targets of a fault among count gateways or hosts and returns their ranks or
// indices by step of the fault.
func (s *Scenario) faultTargets(count int, zoneOf func(int) string, f *Fault, faultIndex int) [][]int {
	var candidates []int
	for i := range count {
		if f.Zone == "" || zoneOf(i) == f.Zone {
			candidates = append(candidates, i)
		}
	}
	rng := s.newRand(streamFaults + 1000*uint64(faultIndex+1))
	var chosen []int
	for _, i := range chooseShare(rng, len(candidates), f.Share, f.Selection) {
		chosen = append(chosen, candidates[i])
	}
	steps := max(f.Steps, 1)
	byStep := make([][]int, steps)
	for i, x := range chosen {
		byStep[i*steps/len(chosen)] = append(byStep[i*steps/len(chosen)], x)
	}
	return byStep
}

// zoneOfHost returns the zone of the host at an index, or "" for a host that was added during the run.
func (s *Scenario) zoneOfHost(i int) string {
	for _, g := range s.Hosts {
		if i < g.Count {
			return g.Zone
		}
		i -= g.Count
	}
	return ""
}

// zoneOfGateway returns the zone of the gateway of a rank. Each zone has an equal range of consecutive ranks.
func (s *Scenario) zoneOfGateway(i int) string {
	var zones []string
	for _, g := range s.Hosts {
		zones = appendUnique(zones, g.Zone)
	}
	return zones[i*len(zones)/s.Gateways.Count]
}

// hostCount returns the number of hosts when the run starts.
func (s *Scenario) hostCount() (n int) {
	for _, g := range s.Hosts {
		n += g.Count
	}
	return n
}
