// Command yewpass runs a controller of the yewpass scheduler, and is its command-line client.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yewpass/internal/config"
	"yewpass/internal/node"
	"yewpass/internal/operators"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		reportFailure(err)
		os.Exit(exitCode(err))
	}
}

// reportFailure prints the final error to standard error. It waits at most a second, so that a pipe
// that nobody reads does not keep the process from exiting.
func reportFailure(err error) {
	printed := make(chan struct{})
	go func() {
		fmt.Fprintln(os.Stderr, "yewpass:", err)
		close(printed)
	}()
	select {
	case <-printed:
	case <-time.After(time.Second):
	}
}

func rootCommand() *cobra.Command {
	var settings, ops string
	cmd := &cobra.Command{
		Use:   "yewpass",
		Short: "Scheduler for clusters of rented machines",
		Long:  "yewpass --config FILE runs a controller node. The other commands validate its files or send requests to a running node.",
		Example: "  yewpass --config settings.toml --operators deploy/operators.toml\n" +
			"  yewpass schedule preview nightly.toml --operators deploy/operators.toml --count 5\n" +
			"  yewpass completion bash > /etc/bash_completion.d/yewpass",
		Version:       version(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" {
				return cmd.Help()
			}
			node.SetupLog()
			cfg, err := config.Load(settings)
			if err != nil {
				return err
			}
			file, err := operators.Load(ops)
			if err != nil {
				return err
			}
			return node.Run(cfg, file)
		},
	}
	cmd.Flags().StringVar(&settings, "config", "", "settings file that the platform provides")
	cmd.Flags().StringVar(&ops, "operators", "", "operators' file, see deploy/operators.toml (default: built-in defaults)")
	cmd.AddCommand(checkCommand(), submitCommand(), statusCommand(), cancelCommand(), scheduleCommand(), clusterCommand(), configCommand())
	return cmd
}

// version returns the module version, the VCS revision and the Go version of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	if v == "" || v == "(devel)" {
		v = "development"
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			if !strings.Contains(v, s.Value[:min(12, len(s.Value))]) {
				v += " " + s.Value
			}
		case "vcs.modified":
			if s.Value == "true" {
				v += " modified"
			}
		}
	}
	return v + " " + info.GoVersion
}
