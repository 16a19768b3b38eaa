// Package scale plays the same day at two sizes of the fleet, with real gateways, and compares what a gateway
// needs at the large size with what it may need.
package scale

import (
	"bytes"
	"fmt"
	"slices"
	"text/template"

	"bramblelock/internal/fleetlab"
)

// Day is a course of events that is played at two sizes. Its faults concern shares of the fleet, so that they
// grow with it.
type Day struct {
	Name    string
	Seconds int    // length of the day
	faults  string // in the format of scenario files
}

// Days lists the days in the order in which they are played.
var Days = []Day{
	{Name: "quiet", Seconds: 20},
	{Name: "rolling-release", Seconds: 40, faults: rollingRelease},
	{Name: "zone-lost", Seconds: 40, faults: zoneLost},
	{Name: "discovery-away", Seconds: 40, faults: discoveryAway},
	{Name: "flapping", Seconds: 40, faults: flapping},
}

// Half of the hosts are replaced in steps and come back cold, while all gateways restart a tenth at a time.
const rollingRelease = `
[[fault]]
on = "hosts"
do = "kill"
at = "6s"
for = "2s"
share = 0.5
steps = 20
step = "1s"

[[fault]]
on = "gateways"
do = "restart"
at = "8s"
for = "500ms"
steps = 10
step = "2s"
`

// A zone is lost and comes back cold.
const zoneLost = `
[[fault]]
on = "hosts"
do = "kill"
at = "8s"
for = "10s"
zone = "b"
`

// Discovery is away after a quiet time, then back.
const discoveryAway = `
[[fault]]
on = "catalog"
do = "down"
at = "10s"
for = "20s"
`

// A tenth of the hosts goes and comes back three times.
const flapping = `
[[fault]]
on = "hosts"
do = "kill"
at = "6s"
for = "3s"
share = 0.1

[[fault]]
on = "hosts"
do = "kill"
at = "16s"
for = "3s"
share = 0.1

[[fault]]
on = "hosts"
do = "kill"
at = "26s"
for = "3s"
share = 0.1
`

// FindDay returns the day of a name.
func FindDay(name string) (Day, error) {
	i := slices.IndexFunc(Days, func(d Day) bool { return d.Name == name })
	if i < 0 {
		return Day{}, fmt.Errorf("there is no day %q", name)
	}
	return Days[i], nil
}

// Size is the size of a fleet. The traffic of a gateway does not depend on it, and the number of hosts for
// each gateway is about the same at both sizes of a comparison.
type Size struct {
	Gateways int `json:"gateways"` // gateways of the fleet, as their settings state
	Running  int `json:"running"`  // gateways that run as processes
	Hosts    int `json:"hosts"`    // hosts in two zones
}

// scenarioText is the scenario of a day at a size. Of the fleet, only some gateways run.
var scenarioText = template.Must(template.New("scenario").Parse(`
name = "{{.Day.Name}}"
seed = {{.Seed}}
length = "{{.Day.Seconds}}s"
measure_from = "{{.MeasureFrom}}"

[gateways]
count = {{.Size.Gateways}}
absent = {{.AbsentShare}}

[[hosts]]
count = {{.ZoneA}}
zone = "a"
cores = 4

[[hosts]]
count = {{.ZoneB}}
zone = "b"
cores = 4

[load]
rate = {{.Rate}}
skew = 0.0
from = "{{.MeasureFrom}}"

[catalog]
ask_within = "10s"
{{.Faults}}`))

// measureFrom is the time of a day at which the load begins, when all gateways have their list of hosts.
const measureFrom = "4s"

// scenario returns the scenario of a day at a size, with rate requests a second at each running gateway.
func (d Day) scenario(size Size, rate float64, seed uint64) (*fleetlab.Scenario, error) {
	var text bytes.Buffer
	err := scenarioText.Execute(&text, map[string]any{
		"Day": d, "Size": size, "Seed": seed, "Faults": d.faults, "MeasureFrom": measureFrom,
		"AbsentShare": 1 - float64(size.Running)/float64(size.Gateways),
		"ZoneA":       size.Hosts - size.Hosts/2,
		"ZoneB":       size.Hosts / 2,
		"Rate":        rate * float64(size.Running),
	})
	if err != nil {
		return nil, err
	}
	scenario, err := fleetlab.Parse(text.Bytes())
	if err != nil {
		return nil, fmt.Errorf("day %s: %w", d.Name, err)
	}
	return scenario, nil
}
