// Command yewlab runs load tests of yewpass at a planned cluster size: real controllers on the
// loopback interface against simulated external services, users and workers.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"yewpass/internal/scenario"
)

// errRunFailed is returned after a run that violated an invariant or reported errors.
var errRunFailed = errors.New("the run violated an invariant or reported errors")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "yewlab", Short: "Run load tests of yewpass", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(scaleCommand(), slopesCommand(), heartbeatLoadCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "yewlab:", err)
		stop()
		os.Exit(1)
	}
}

func slopesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "slopes REPORT...", Short: "Fit linear trends to the JSON reports of scale runs of several sizes", Args: cobra.MinimumNArgs(3),
		Example: "  yewlab slopes 340.json 675.json 1350.json 2700.json --at 2700,5400",
	}
	sizes := cmd.Flags().IntSlice("at", []int{2700, 5400}, "sizes to extrapolate to")
	cmd.RunE = func(cmd *cobra.Command, files []string) error {
		var reports []*scenario.ScaleReport
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			r := &scenario.ScaleReport{}
			if err := json.Unmarshal(data, r); err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			reports = append(reports, r)
		}
		slopes, err := scenario.FitSlopes(reports)
		if err != nil {
			return err
		}
		scenario.PrintSlopes(cmd.OutOrStdout(), slopes, *sizes)
		return nil
	}
	return cmd
}

// measureHeartbeatCost measures what sending a heartbeat costs a worker, in a separate process that
// runs the heartbeat load command.
func measureHeartbeatCost(ctx context.Context) (cost scenario.HeartbeatCost, err error) {
	self, err := os.Executable()
	if err != nil {
		return cost, err
	}
	return scenario.MeasureHeartbeatCost(ctx, self, heartbeatLoadName)
}

// heartbeatLoadName is the name of the hidden command that measureHeartbeatCost runs.
const heartbeatLoadName = "make-reports"

// heartbeatLoadCommand sends heartbeats to an address and prints their cost as JSON.
func heartbeatLoadCommand() *cobra.Command {
	return &cobra.Command{Use: heartbeatLoadName + " ADDRESS", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		cost, err := scenario.SendHeartbeats(args[0])
		if err != nil {
			return err
		}
		return json.NewEncoder(cmd.OutOrStdout()).Encode(cost)
	}}
}

func scaleCommand() *cobra.Command {
	plan := scenario.DefaultScalePlan()
	var programs []string
	var asJSON bool
	cmd := &cobra.Command{
		Use: "scale", Short: "Run at the planned size and measure the resources that each role uses", Args: cobra.NoArgs,
		Long: "Starts controllers as processes on the loopback interface, with a simulated key-value store, cloud, users and workers in this process. " +
			"Ramps up to the planned rate, holds it, and prints a report. Exits with status 1 if an invariant was violated or errors were reported.",
		Example: "  yewlab scale --program target/yewpass\n" +
			"  yewlab scale --workers 675 --tasks 275 --jobs 1.1 --running 10750 --teams 28 --json\n" +
			"  yewlab scale --kill-leader --cut-region 90s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			progress := func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
			report, err := scenario.RunScaleTest(cmd.Context(), plan, programs, progress)
			if err != nil {
				return err
			}
			if report.Worker.Cost, err = measureHeartbeatCost(cmd.Context()); err != nil {
				return err
			}
			if asJSON {
				encoder := json.NewEncoder(cmd.OutOrStdout())
				encoder.SetIndent("", "  ")
				if err := encoder.Encode(report); err != nil {
					return err
				}
			} else {
				report.Print(cmd.OutOrStdout())
			}
			if report.Failed() {
				return errRunFailed
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&programs, "program", []string{"target/yewpass"}, "programs of the controllers, assigned in turn, for example to test with an older version")
	f.BoolVar(&asJSON, "json", false, "print the report as JSON")
	f.IntVar(&plan.Workers, "workers", plan.Workers, "number of machines, all running from the start")
	f.Float64Var(&plan.Tasks, "tasks", plan.Tasks, "task starts per second at the full rate")
	f.Float64Var(&plan.Jobs, "jobs", plan.Jobs, "submissions per second at the full rate")
	f.IntVar(&plan.Running, "running", plan.Running, "number of tasks running at the full rate")
	f.IntVar(&plan.Teams, "teams", plan.Teams, "number of teams, each with a guarantee and a limit")
	f.IntVar(&plan.Regions, "regions", plan.Regions, "number of regions over which the zones are spread")
	f.IntVar(&plan.Zones, "zones", plan.Zones, "total number of zones")
	f.IntVar(&plan.Controllers, "controllers", plan.Controllers, "number of controllers, spread over the zones")
	f.DurationVar(&plan.Ramp, "ramp", plan.Ramp, "duration of the ramp from zero to the full rate")
	f.DurationVar(&plan.Hold, "hold", plan.Hold, "duration of the measurement at the full rate")
	f.DurationVar(&plan.Drain, "drain", plan.Drain, "maximum time for the remaining tasks to end")
	f.Float64Var(&plan.StateRPS, "state-rps", plan.StateRPS, "request rate limit of the key-value store, per second")
	f.Float64Var(&plan.StateWrites, "state-writes", plan.StateWrites, "write rate limit of the key-value store, per second")
	f.Float64Var(&plan.MemoryMB, "memory-mb", plan.MemoryMB, "memory of a controller, in MB")
	f.BoolVar(&plan.KillLeader, "kill-leader", false, "kill the leader after a third of the hold and restart it 3 s later")
	f.DurationVar(&plan.CutRegion, "cut-region", 0, "disconnect a region for this duration after a third of the hold")
	f.Float64Var(&plan.ReportBytes, "report-bytes", 0, "limit of control traffic per worker in bytes per second, set by the operators' policy; 0 means no limit")
	f.Float64Var(&plan.ChangesADay, "changes-a-day", 0, "changes of team limits per day, evenly distributed over the hold")
	f.IntVar(&plan.ChangeBurst, "change-burst", 0, "number of changes of team limits within a minute, after a third of the hold")
	f.Uint64Var(&plan.Seed, "seed", plan.Seed, "random seed of the jobs")
	return cmd
}
