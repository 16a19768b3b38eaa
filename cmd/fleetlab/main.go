// Command fleetlab runs experiments on a fleet of gateways. It runs a scenario file with one of three
// engines, which all report the same figures: virtual (in one process on a virtual clock), oracle (on
// the virtual clock, with a dispatcher that knows the state of every host in place of the gateways) or
// real (with real processes on loopback). Besides, it measures real catalogs (command catalog) and runs
// real processes under overlapping faults (command soak). See docs/fleetlab.md for its use.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"bramblelock/internal/catalogfleet"
	"bramblelock/internal/fleetlab"
	"bramblelock/internal/soak"
)

func main() {
	root := &cobra.Command{Use: "fleetlab", Short: "Experiments on a fleet of gateways",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(checkCmd(), runCmd(), tableCmd(), compareCmd(), plotCmd(), catalogCmd(), soakCmd(), scaleCmd())
	// On an interrupt, a run of the engine real, of soak, of catalog or of scale stops gracefully: all processes that it
	// started have exited when it returns. The other commands ignore the context.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		os.Exit(1)
	}
}

func checkCmd() *cobra.Command {
	return &cobra.Command{Use: "check SCENARIO...", Short: "Check scenario files without running them", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, path := range args {
				if _, err := fleetlab.LoadScenario(path); err != nil {
					return err
				}
			}
			return nil
		}}
}

func runCmd() *cobra.Command {
	var engine, resultPath, plotPath string
	var seeds int
	var realOptions fleetlab.RealOptions
	cmd := &cobra.Command{Use: "run SCENARIO", Short: "Run a scenario and print its figures", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := fleetlab.LoadScenario(args[0])
			if err != nil {
				return err
			}
			runScenario, err := newRunner(cmd.Context(), fleetlab.Engine(engine), realOptions)
			if err != nil {
				return err
			}
			if seeds < 1 {
				return fmt.Errorf("--seeds: %d is below 1", seeds)
			}
			var resultFile fleetlab.ResultFile
			for i := range seeds {
				seeded := *scenario
				seeded.Seed += uint64(i)
				start := time.Now()
				result, err := runScenario(&seeded)
				if err != nil {
					return err
				}
				resultFile.Runs = append(resultFile.Runs, result)
				fmt.Fprintf(os.Stderr, "seed %d: %.1f s of real time, %d of %d served in time, %d cold hosts overloaded\n",
					seeded.Seed, time.Since(start).Seconds(), result.Requests.Served, result.Requests.Sent, result.OverloadFailures.Hosts)
			}
			if resultPath != "" {
				if err := resultFile.Save(resultPath); err != nil {
					return err
				}
			}
			if plotPath != "" {
				if err := resultFile.Runs[0].Plot(plotPath); err != nil {
					return err
				}
			}
			return resultFile.Table(os.Stdout)
		}}
	cmd.Flags().StringVar(&engine, "engine", string(fleetlab.EngineVirtual), "engine: virtual, oracle or real")
	realOptions.Progress = os.Stderr
	cmd.Flags().StringVar(&realOptions.Bin, "bin", executableDir(), "engine real: folder with the binaries gateway and catalog")
	cmd.Flags().StringVar(&realOptions.Dir, "dir", "", "engine real: existing folder in which to keep logs and data")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of runs, each with the next seed")
	cmd.Flags().StringVar(&resultPath, "json", "", "file for the result")
	cmd.Flags().StringVar(&plotPath, "plot", "", "file for a plot of the first run (.svg or .png)")
	return cmd
}

// newRunner returns the function that runs a scenario with the given engine. Only the engine real uses
// ctx and opt.
func newRunner(ctx context.Context, engine fleetlab.Engine, opt fleetlab.RealOptions) (func(*fleetlab.Scenario) (*fleetlab.Result, error), error) {
	switch engine {
	case fleetlab.EngineVirtual:
		return func(s *fleetlab.Scenario) (*fleetlab.Result, error) { return fleetlab.Virtual(s), nil }, nil
	case fleetlab.EngineOracle:
		return func(s *fleetlab.Scenario) (*fleetlab.Result, error) { return fleetlab.Oracle(s), nil }, nil
	case fleetlab.EngineReal:
		return func(s *fleetlab.Scenario) (*fleetlab.Result, error) { return fleetlab.Real(ctx, s, opt) }, nil
	}
	return nil, fmt.Errorf("--engine: %q is not virtual, oracle or real", engine)
}

func tableCmd() *cobra.Command {
	return &cobra.Command{Use: "table RESULT", Short: "Print the figures of a result file", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			resultFile, err := fleetlab.LoadResultFile(args[0])
			if err != nil {
				return err
			}
			return resultFile.Table(os.Stdout)
		}}
}

func compareCmd() *cobra.Command {
	return &cobra.Command{Use: "compare A B", Short: "Print two result files side by side", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			a, err := fleetlab.LoadResultFile(args[0])
			if err != nil {
				return err
			}
			b, err := fleetlab.LoadResultFile(args[1])
			if err != nil {
				return err
			}
			return fleetlab.Compare(os.Stdout, a, b)
		}}
}

func plotCmd() *cobra.Command {
	var plotPath string
	cmd := &cobra.Command{Use: "plot RESULT", Short: "Plot the first run of a result file", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			resultFile, err := fleetlab.LoadResultFile(args[0])
			if err != nil {
				return err
			}
			return resultFile.Runs[0].Plot(plotPath)
		}}
	cmd.Flags().StringVarP(&plotPath, "out", "o", "fleet.svg", "output file (.svg or .png)")
	return cmd
}

func catalogCmd() *cobra.Command {
	var bin, dir string
	var watchers, writes, kills int
	cmd := &cobra.Command{Use: "catalog", Short: "Measure real catalogs: fan-out latency, memory per watch and failover time", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if watchers < 1 || writes < 1 || kills < 0 {
				return errors.New("--watchers and --writes must be at least 1, --kills at least 0")
			}
			dataDir, err := os.MkdirTemp(dir, "fleetlab-catalog")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dataDir)
			result, err := catalogfleet.RunExperiment(cmd.Context(), filepath.Join(bin, "catalog"), dataDir, watchers, writes, kills)
			if err != nil {
				return err
			}
			text, err := json.MarshalIndent(result, "", "  ")
			if err != nil {
				return err
			}
			fmt.Println(string(text))
			return nil
		}}
	cmd.Flags().StringVar(&bin, "bin", executableDir(), "folder with the catalog binary")
	cmd.Flags().StringVar(&dir, "dir", "", "parent folder of the temporary data, which is removed at the end")
	cmd.Flags().IntVar(&watchers, "watchers", 300, "number of open watches")
	cmd.Flags().IntVar(&writes, "writes", 100, "number of writes whose fan-out is timed")
	cmd.Flags().IntVar(&kills, "kills", 20, "number of leaders to kill; 0 for none")
	return cmd
}

func soakCmd() *cobra.Command {
	opt := soak.Defaults()
	var seeds int
	cmd := &cobra.Command{Use: "soak", Short: "Run real processes under overlapping faults and check the rules", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSoakSizes(seeds, opt); err != nil {
				return err
			}
			violations := 0
			for first := opt.Seed; opt.Seed < first+uint64(seeds); opt.Seed++ {
				report, err := soak.Run(cmd.Context(), opt)
				if err != nil {
					return err
				}
				report.Print(os.Stdout)
				violations += len(report.Violations)
			}
			if violations > 0 {
				return fmt.Errorf("%d rule violations", violations)
			}
			return nil
		}}
	flags := cmd.Flags()
	flags.StringVar(&opt.Bin, "bin", executableDir(), "folder with the binaries gateway and catalog")
	flags.StringVar(&opt.Dir, "dir", "", "existing folder below which to keep logs and data")
	flags.Uint64Var(&opt.Seed, "seed", opt.Seed, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of runs, each with the next seed")
	flags.DurationVar(&opt.Length, "length", opt.Length, "duration of the load in each run")
	flags.IntVar(&opt.Gateways, "gateways", opt.Gateways, "number of gateway processes")
	flags.IntVar(&opt.Hosts, "servers", opt.Hosts, "number of hosts")
	flags.IntVar(&opt.Catalogs, "catalogs", opt.Catalogs, "number of catalog processes")
	flags.Float64Var(&opt.Rate, "rate", opt.Rate, "requests per second over all gateways")
	flags.IntVar(&opt.Overlap, "overlap", opt.Overlap, "approximate number of concurrent faults")
	return cmd
}

// checkSoakSizes returns an error for a number that is not above 0. A soak without seeds or load would
// check nothing and report no violation.
func checkSoakSizes(seeds int, opt soak.Options) error {
	for _, size := range []struct {
		flag  string
		value float64
	}{
		{"seeds", float64(seeds)}, {"length", opt.Length.Seconds()}, {"gateways", float64(opt.Gateways)},
		{"servers", float64(opt.Hosts)}, {"catalogs", float64(opt.Catalogs)}, {"rate", opt.Rate},
	} {
		if !(size.value > 0) { // written so that it holds for NaN too
			return fmt.Errorf("--%s: %v is not above 0", size.flag, size.value)
		}
	}
	return nil
}

// executableDir returns the folder of this program, in which the other binaries are expected by
// default, or "." if it is not known.
func executableDir() string {
	path, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(path)
}
