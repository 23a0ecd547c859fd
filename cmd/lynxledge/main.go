// Command lynxledge is a controller of the cluster scheduler.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"lynxledge/internal/config"
)

// version is what --version prints.
const version = "0.1.0"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lynxledge:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command that runs a controller or, with --check, checks its settings.
func rootCommand() *cobra.Command {
	var configPath, operatorsPath string
	var checkOnly bool
	command := &cobra.Command{
		Use:           "lynxledge --config FILE",
		Short:         "A controller of the lynxledge cluster scheduler",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if configPath == "" {
				return errors.New("--config FILE is missing")
			}
			cfg, err := config.Load(configPath, operatorsPath)
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Println("settings are sound")
				return nil
			}
			return run(cfg)
		},
	}
	command.AddCommand(zonesCommand(), standbyCommand())
	command.Flags().StringVar(&configPath, "config", "", "settings `file` of the platform (TOML)")
	command.Flags().StringVar(&operatorsPath, "operators", "", "operators' own settings `file` (JSON, see internal/config/operators.schema.json)")
	command.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return command
}
