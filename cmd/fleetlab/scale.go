package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"bramblelock/internal/scale"
)

func scaleCmd() *cobra.Command {
	opt := scale.Defaults()
	opt.Progress = os.Stderr
	var dayNames []string
	var resultPath string
	cmd := &cobra.Command{Use: "scale", Short: "Compare what a gateway needs in a usual fleet and in a large one", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			days, err := findDays(dayNames)
			if err != nil {
				return err
			}
			var reports []*scale.Report
			exceeded := 0
			for _, day := range days {
				report, err := scale.Compare(cmd.Context(), day, opt)
				if err != nil {
					return err
				}
				if err := report.Table(os.Stdout); err != nil {
					return err
				}
				reports = append(reports, report)
				exceeded += report.Exceeded()
			}
			if resultPath != "" {
				if err := writeIndented(resultPath, reports); err != nil {
					return err
				}
			}
			if exceeded > 0 {
				return fmt.Errorf("%d figures exceed what is allowed", exceeded)
			}
			return nil
		}}
	flags := cmd.Flags()
	flags.StringSliceVar(&dayNames, "day", nil, "days to play (default all): quiet, rolling-release, zone-lost, discovery-away, flapping")
	flags.StringVar(&resultPath, "json", "", "file for the result")
	flags.StringVar(&opt.Bin, "bin", executableDir(), "folder with the binaries gateway and catalog")
	flags.StringVar(&opt.Dir, "dir", "", "existing folder in which to keep logs and data")
	flags.Uint64Var(&opt.Seed, "seed", opt.Seed, "seed of both runs")
	flags.IntVar(&opt.Usual.Gateways, "gateways", opt.Usual.Gateways, "gateways of the usual fleet")
	flags.IntVar(&opt.Usual.Running, "running", opt.Usual.Running, "gateways that run as processes, at both sizes")
	flags.IntVar(&opt.Usual.Hosts, "hosts", opt.Usual.Hosts, "hosts of the usual fleet")
	flags.IntVar(&opt.Factor, "factor", opt.Factor, "times as many gateways and hosts in the large fleet")
	flags.Float64Var(&opt.Rate, "rate", opt.Rate, "requests per second at each running gateway")
	return cmd
}

// findDays returns the days of the given names, or all days if there are none.
func findDays(names []string) ([]scale.Day, error) {
	if len(names) == 0 {
		return scale.Days, nil
	}
	var days []scale.Day
	for _, name := range names {
		day, err := scale.FindDay(name)
		if err != nil {
			return nil, err
		}
		days = append(days, day)
	}
	return days, nil
}

// writeIndented writes a value to a file as indented JSON.
func writeIndented(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
