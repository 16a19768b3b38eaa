// Command fleetlab runs experiments on a fleet of gateways: a scenario file is played in
// one process on a virtual clock, by an oracle, or with real processes on loopback, and
// each play gives the same figures. docs/fleetlab.md shows how.
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

	"lynxspool/internal/catalogfleet"
	"lynxspool/internal/fleetlab"
)

func main() {
	root := &cobra.Command{Use: "fleetlab", Short: "Experiments on a fleet of gateways",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(checkCmd(), runCmd(), tableCmd(), compareCmd(), plotCmd(), catalogCmd(), soakCmd())
	// Ctrl-C ends a play in order: every process that it started has ended at its return.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		os.Exit(1)
	}
}

func checkCmd() *cobra.Command {
	return &cobra.Command{Use: "check SCENARIO...", Short: "Check scenario files and play nothing", Args: cobra.MinimumNArgs(1),
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
	var engine, out, plot string
	var seeds int
	var real fleetlab.RealOptions
	c := &cobra.Command{Use: "run SCENARIO", Short: "Play a scenario and print its figures", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := fleetlab.LoadScenario(args[0])
			if err != nil {
				return err
			}
			play, err := player(cmd.Context(), engine, real)
			if err != nil {
				return err
			}
			if seeds < 1 {
				return fmt.Errorf("--seeds: %d is below 1", seeds)
			}
			var plays fleetlab.ResultFile
			for i := range seeds {
				one := *s
				one.Seed += uint64(i)
				began := time.Now()
				r, err := play(&one)
				if err != nil {
					return err
				}
				plays.Runs = append(plays.Runs, r)
				fmt.Fprintf(os.Stderr, "seed %d: %.1f s of real time, %d of %d served in time, %d hosts fell\n",
					one.Seed, time.Since(began).Seconds(), r.Requests.Served, r.Requests.Sent, r.OverloadFailures.Hosts)
			}
			if out != "" {
				if err := plays.Save(out); err != nil {
					return err
				}
			}
			if plot != "" {
				if err := plays.Runs[0].Plot(plot); err != nil {
					return err
				}
			}
			return plays.Table(os.Stdout)
		}}
	c.Flags().StringVar(&engine, "engine", "virtual", "virtual, oracle or real")
	real.Progress = os.Stderr
	c.Flags().StringVar(&real.Bin, "bin", here(), "real: folder with the binaries dunemoor and catalog")
	c.Flags().StringVar(&real.Dir, "dir", "", "real: keep logs and data in this folder, which exists")
	c.Flags().IntVar(&seeds, "seeds", 1, "plays, each with the next seed")
	c.Flags().StringVar(&out, "json", "", "write the result here")
	c.Flags().StringVar(&plot, "plot", "", "draw the first play here (.svg or .png)")
	return c
}

func player(ctx context.Context, engine string, opt fleetlab.RealOptions) (func(*fleetlab.Scenario) (*fleetlab.Result, error), error) {
	switch engine {
	case "virtual":
		return func(s *fleetlab.Scenario) (*fleetlab.Result, error) { return fleetlab.Virtual(s), nil }, nil
	case "oracle":
		return func(s *fleetlab.Scenario) (*fleetlab.Result, error) { return fleetlab.Oracle(s), nil }, nil
	case "real":
		return func(s *fleetlab.Scenario) (*fleetlab.Result, error) { return fleetlab.Real(ctx, s, opt) }, nil
	}
	return nil, fmt.Errorf("--engine: %q is not virtual, oracle or real", engine)
}

func tableCmd() *cobra.Command {
	return &cobra.Command{Use: "table RESULT", Short: "Print the figures of a result file", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := fleetlab.LoadResultFile(args[0])
			if err != nil {
				return err
			}
			return p.Table(os.Stdout)
		}}
}

func compareCmd() *cobra.Command {
	return &cobra.Command{Use: "compare A B", Short: "Set two result files side by side", Args: cobra.ExactArgs(2),
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
	var out string
	c := &cobra.Command{Use: "plot RESULT", Short: "Draw the first play of a result file", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := fleetlab.LoadResultFile(args[0])
			if err != nil {
				return err
			}
			return p.Runs[0].Plot(out)
		}}
	c.Flags().StringVarP(&out, "out", "o", "fleet.svg", "where to (.svg or .png)")
	return c
}

func catalogCmd() *cobra.Command {
	var bin, dir string
	var watchers, writes, kills int
	c := &cobra.Command{Use: "catalog", Short: "Measure real catalogs: fan-out, memory of watches, failover", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if watchers < 1 || writes < 1 || kills < 0 {
				return errors.New("--watchers and --writes must be above 0, --kills not below")
			}
			tmp, err := os.MkdirTemp(dir, "fleetlab-catalog")
			if err != nil {
				return err
			}
			defer os.RemoveAll(tmp)
			f, err := catalogfleet.RunExperiment(filepath.Join(bin, "catalog"), tmp, watchers, writes, kills)
			if err != nil {
				return err
			}
			text, err := json.MarshalIndent(f, "", "  ")
			if err != nil {
				return err
			}
			fmt.Println(string(text))
			return nil
		}}
	c.Flags().StringVar(&bin, "bin", here(), "folder with the binary catalog")
	c.Flags().StringVar(&dir, "dir", "", "folder for data, removed at the end")
	c.Flags().IntVar(&watchers, "watchers", 300, "open watches")
	c.Flags().IntVar(&writes, "writes", 100, "writes timed for the fan-out")
	c.Flags().IntVar(&kills, "kills", 20, "leaders killed; 0: none")
	return c
}

func soakCmd() *cobra.Command {
	opt := fleetlab.SoakDefaults()
	opt.Progress = os.Stderr
	var seeds int
	c := &cobra.Command{Use: "soak", Short: "Run real processes under troubles that overlap, and judge them by the rules", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			broken := 0
			for first := opt.Seed; opt.Seed < first+uint64(seeds); opt.Seed++ {
				r, err := fleetlab.Soak(cmd.Context(), opt)
				if err != nil {
					return err
				}
				r.Print(os.Stdout)
				broken += len(r.Violations)
			}
			if broken > 0 {
				return fmt.Errorf("%d violations", broken)
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&opt.Bin, "bin", here(), "folder with the binaries dunemoor and catalog")
	f.StringVar(&opt.Dir, "dir", "", "keep logs and data below this folder, which exists")
	f.Uint64Var(&opt.Seed, "seed", opt.Seed, "first seed")
	f.IntVar(&seeds, "seeds", 1, "runs, each with the next seed")
	f.DurationVar(&opt.Length, "length", opt.Length, "of the load of a run")
	f.IntVar(&opt.Gateways, "gateways", opt.Gateways, "gateway processes")
	f.IntVar(&opt.Hosts, "servers", opt.Hosts, "servers")
	f.IntVar(&opt.Catalogs, "catalogs", opt.Catalogs, "catalog processes")
	f.Float64Var(&opt.Rate, "rate", opt.Rate, "requests a second over all gateways")
	f.IntVar(&opt.Overlap, "overlap", opt.Overlap, "troubles under way at a time, about")
	return c
}

// here is the folder of this program, where the others are built too.
func here() string {
	path, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(path)
}
