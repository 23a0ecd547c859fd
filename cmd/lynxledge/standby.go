package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"lynxledge/internal/standby"
)

// standbyCommand returns the command that prints who succeeds the leader, and how one controller
// rates the health of its peers.
func standbyCommand() *cobra.Command {
	var endpoint string
	command := &cobra.Command{
		Use:   "standby --endpoint HOST:PORT",
		Short: "Print who stands by for the leader, and what a controller thinks of the others",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status := &standby.Status{}
			if err := fetchStatus(cmd.Context(), endpoint, standby.StatusPath, status); err != nil {
				return err
			}
			return printStandby(cmd.OutOrStdout(), status, time.Now())
		},
	}
	command.Flags().StringVar(&endpoint, "endpoint", "", "mesh `address` of a controller (mesh_addr in its settings)")
	_ = command.MarkFlagRequired("endpoint") // fails only for a flag that is not defined
	return command
}

func printStandby(out io.Writer, status *standby.Status, now time.Time) error {
	fmt.Fprintf(out, "as %s sees it; leader: %s; places: %s; stand by: %s\n",
		status.Member, orNone(status.Leader), orNone(status.ActiveScheduler), strings.Join(status.Successors, ", "))
	if last := status.LastAction; last.Kind != "" {
		fmt.Fprintf(out, "last takeover: %s of %s, %s ago: %s\n", last.Kind, last.Member, sinceText(last.At, now), last.Reason)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nCONTROLLER\tLEVEL\tSILENT\tCONNECTIONS\tREFUTED\tHELD")
	for _, other := range status.Peers {
		held := "-"
		if other.HoldUntil.After(now) {
			held = other.HoldUntil.Sub(now).Round(time.Second).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%.1f s\t%d\t%d\t%s\n",
			other.Member, other.Level, float64(other.SinceHeartbeatMillis)/1000, other.Connections, other.Refutations, held)
	}
	return table.Flush()
}
