package scale

import (
	"bytes"
	"strings"
	"testing"

	"bramblelock/internal/fleetlab"
)

func TestDaysAreValidAtBothSizes(t *testing.T) {
	opt := Defaults()
	for _, size := range []Size{opt.Usual, opt.large()} {
		for _, day := range Days {
			s, err := day.scenario(size, opt.Rate, 1)
			if err != nil {
				t.Fatal(err)
			}
			running, hosts := 0, 0
			for _, present := range s.PresentRanks() {
				if present {
					running++
				}
			}
			for _, group := range s.Hosts {
				hosts += group.Count
			}
			if running != size.Running || s.Gateways.Configured != size.Gateways || hosts != size.Hosts {
				t.Errorf("%s: %d of %d gateways run, %d hosts; want %+v", day.Name, running, s.Gateways.Configured, hosts, size)
			}
		}
	}
	if _, err := FindDay("holiday"); err == nil {
		t.Error("a day that does not exist is found")
	}
}

// Each figure is compared with its own bound; the share served must not be too low.
func TestReportNamesExceededFigures(t *testing.T) {
	usual := fleetlab.GatewayUsage{CPUSeconds: 1, PeakMemoryMB: 20, Descriptors: 30, NewConns: 100, ListBytes: 1000}
	atBounds := fleetlab.GatewayUsage{CPUSeconds: 1.516, PeakMemoryMB: 50.8, Descriptors: 100, NewConns: 290, ListBytes: 1_666_000}
	for _, tt := range []struct {
		factor, served float64
		exceeded       int
	}{{0.999, 0.86, 0}, {1.001, 0.86, 5}, {0.999, 0.84, 1}} {
		large := atBounds
		for _, field := range []*float64{&large.CPUSeconds, &large.PeakMemoryMB, &large.Descriptors, &large.NewConns, &large.ListBytes} {
			*field *= tt.factor
		}
		runs := [2]fleetlab.Result{{GatewayUsage: &usual}, {GatewayUsage: &large}}
		runs[0].Requests.ServedPart, runs[1].Requests.ServedPart = 1, tt.served
		report := newReport(Days[0], Size{Hosts: 200}, Size{Hosts: 3200}, runs)
		var table bytes.Buffer
		if err := report.Table(&table); err != nil {
			t.Fatal(err)
		}
		if report.Exceeded() != tt.exceeded || strings.Count(table.String(), "EXCEEDED") != tt.exceeded {
			t.Errorf("%+v: %d figures exceeded in\n%s", tt, report.Exceeded(), table.String())
		}
	}
}
