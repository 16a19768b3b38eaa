package scale

import (
	"context"
	"errors"
	"fmt"
	"io"

	"bramblelock/internal/fleetlab"
)

// Options are the parameters of a comparison.
type Options struct {
	Bin      string    // directory of the binaries gateway and catalog
	Dir      string    // existing directory for logs and data; empty: temporary ones that are removed
	Progress io.Writer // receives progress messages; nil: none
	Seed     uint64
	Usual    Size
	Factor   int     // times as many gateways and hosts at the large size
	Rate     float64 // requests a second at each running gateway
}

// Defaults returns a comparison of the usual size with sixteen times as many gateways and hosts, of which a
// small sample of the gateways runs.
func Defaults() Options {
	return Options{Seed: 1, Usual: Size{Gateways: 56, Running: 8, Hosts: 200}, Factor: 16, Rate: 30}
}

// validate returns an error for the first parameter that is out of range.
func (o *Options) validate() error {
	switch {
	case o.Usual.Running < 1 || o.Usual.Running > o.Usual.Gateways:
		return fmt.Errorf("%d of %d gateways cannot run", o.Usual.Running, o.Usual.Gateways)
	case o.Usual.Hosts < 2:
		return fmt.Errorf("%d hosts are too few for two zones", o.Usual.Hosts)
	case o.Factor < 2:
		return fmt.Errorf("the factor %d is below 2", o.Factor)
	case o.Rate <= 0:
		return fmt.Errorf("the rate %v is not above 0", o.Rate)
	}
	return nil
}

// large returns the large size.
func (o *Options) large() Size {
	return Size{Gateways: o.Usual.Gateways * o.Factor, Running: o.Usual.Running, Hosts: o.Usual.Hosts * o.Factor}
}

// Compare plays a day at the usual size and at the large one.
func Compare(ctx context.Context, day Day, opt Options) (*Report, error) {
	if err := opt.validate(); err != nil {
		return nil, err
	}
	large := opt.large()
	var runs [2]fleetlab.Result
	for i, size := range []Size{opt.Usual, large} {
		result, err := play(ctx, day, size, opt)
		if err != nil {
			return nil, fmt.Errorf("day %s with %d hosts: %w", day.Name, size.Hosts, err)
		}
		runs[i] = *result
	}
	return newReport(day, opt.Usual, large, runs), nil
}

// play runs a day at a size with real processes.
func play(ctx context.Context, day Day, size Size, opt Options) (*fleetlab.Result, error) {
	scenario, err := day.scenario(size, opt.Rate, opt.Seed)
	if err != nil {
		return nil, err
	}
	result, err := fleetlab.Real(ctx, scenario, fleetlab.RealOptions{Bin: opt.Bin, Dir: opt.Dir, Progress: opt.Progress})
	if err != nil {
		return nil, err
	}
	if result.GatewayUsage == nil {
		return nil, errors.New("what the gateways used could not be read")
	}
	if result.Ready.Never > 0 {
		return nil, fmt.Errorf("%d gateways never became ready", result.Ready.Never)
	}
	return result, nil
}
