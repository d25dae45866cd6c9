// Command yewpass runs a controller of the yewpass scheduler and talks to one.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"yewpass/internal/config"
	"yewpass/internal/node"
	"yewpass/internal/policy"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "yewpass:", err)
		os.Exit(exitCode(err))
	}
}

func root() *cobra.Command {
	var settings, rules string
	cmd := &cobra.Command{
		Use:           "yewpass",
		Short:         "A scheduler for clusters of rented machines",
		Long:          "yewpass --config FILE runs a controller node. The other commands check its files and talk to a running node.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" {
				return cmd.Help()
			}
			node.SetupLog()
			cfg, pol, err := load(settings, rules)
			if err != nil {
				return err
			}
			return node.Run(cfg, pol)
		},
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.Flags().StringVar(&settings, "config", "", "settings file that the platform hands over")
	cmd.Flags().StringVar(&rules, "policy", "", "operators' policy file; the embedded defaults otherwise")
	cmd.AddCommand(checkCommand(), submitCommand(), statusCommand(), cancelCommand())
	return cmd
}

func load(settings, rules string) (*config.Config, *policy.Policy, error) {
	cfg, err := config.Load(settings)
	if err != nil {
		return nil, nil, err
	}
	pol, err := policy.Load(rules)
	return cfg, pol, err
}
