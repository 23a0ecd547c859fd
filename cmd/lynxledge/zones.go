package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"lynxledge/internal/zonecontrol"
)

// statusTimeout bounds the request for a status page.
const statusTimeout = 5 * time.Second

// zonesCommand returns the command that prints the zones' state as one controller sees it.
func zonesCommand() *cobra.Command {
	var endpoint string
	command := &cobra.Command{
		Use:   "zones --endpoint HOST:PORT",
		Short: "Print the state of the zones, and what waits for their recovery",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status := &zonecontrol.Status{}
			if err := fetchStatus(cmd.Context(), endpoint, zonecontrol.StatusPath, status); err != nil {
				return err
			}
			return printZones(cmd.OutOrStdout(), status, time.Now())
		},
	}
	command.Flags().StringVar(&endpoint, "endpoint", "", "mesh `address` of a controller (mesh_addr in its settings)")
	_ = command.MarkFlagRequired("endpoint") // fails only for a flag that is not defined
	return command
}

// fetchStatus reads a status page from a controller's peer address, which serves only HTTP/2
// without TLS.
func fetchStatus(ctx context.Context, endpoint, path string, status any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+path, nil)
	if err != nil {
		return err
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return json.NewDecoder(response.Body).Decode(status)
	case http.StatusNotFound:
		return fmt.Errorf("%s: the controller has this feature switched off", endpoint)
	}
	return fmt.Errorf("%s: %s", endpoint, response.Status)
}

func printZones(out io.Writer, status *zonecontrol.Status, now time.Time) error {
	fmt.Fprintf(out, "as %s sees it; leader: %s; all members know the record: %v\n\n", status.Member, orNone(status.Leader), status.RecordSupported)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tPHASE\tSINCE\tSERVICES\tARRAYS\tLOSSES\tEVIDENCE")
	for _, zone := range status.Zones {
		evidence := zone.CurrentEvidence
		if zone.TransitionEvidence != "" {
			evidence = fmt.Sprintf("%s (at the change: %s)", zone.CurrentEvidence, zone.TransitionEvidence)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.0f%%\t%.0f%%\t%d\t%s\n",
			zone.Zone, zone.Phase, sinceText(zone.Since, now), 100*zone.AdmittedServices, 100*zone.AdmittedArrays, zone.Losses, evidence)
	}
	if len(status.Services) > 0 {
		fmt.Fprintln(table, "\nSERVICE\tCLASS\tWAITING\tAT RISK\tHAVE ROOM\tWAITS FOR")
	}
	for _, service := range status.Services {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\n",
			service.Service, service.Class, service.Pending, service.AtRisk, service.Placeable, orNone(service.PendingReason))
	}
	return table.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func sinceText(t, now time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return now.Sub(t).Round(time.Second).String()
}
