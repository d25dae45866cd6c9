package main

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yewpass/internal/view"
)

func clusterCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "cluster", Short: "Show the leader, the controllers and the machines that report to each", Args: cobra.NoArgs,
		Example: "  yewpass cluster --node 127.0.0.1:8080\n" +
			"  yewpass cluster --json | jq '.nodes[] | select(.role == \"away\").name'\n" +
			"  yewpass cluster hand-over",
	}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	cmd.PersistentFlags().AddFlagSet(cmd.Flags()) // inherited by hand-over
	fetch := func(cmd *cobra.Command, method, path string) error {
		if *asJSON {
			return callAndPrint(cmd, method, *node, path, nil)
		}
		var v view.Cluster
		if err := doRequest(method, *node, path, nil, nil, &v); err != nil {
			return err
		}
		printCluster(cmd, &v)
		return nil
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return fetch(cmd, http.MethodGet, "/v2/cluster") }
	cmd.AddCommand(&cobra.Command{
		Use: "hand-over", Short: "Transfer the leadership to another node", Args: cobra.NoArgs,
		Long: "The leader steps down and another controller starts the next term. The request is refused while no other controller is reachable or a failover is incomplete. Prints the last cluster state that the former leader knew.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fetch(cmd, http.MethodPost, "/v2/cluster/hand-over")
		},
	})
	return cmd
}

func printCluster(cmd *cobra.Command, v *view.Cluster) {
	out := cmd.OutOrStdout()
	if v.Leader == "" {
		fmt.Fprintf(out, "no leader is known to %s\n", v.Node)
	} else {
		fmt.Fprintf(out, "leader %s, term %d", v.Leader, v.Term)
		if v.LeadingSeconds > 0 {
			fmt.Fprintf(out, ", for %s, authority %v, failover complete %v, %d machines of at most %d, %d unaccounted",
				(time.Duration(v.LeadingSeconds * float64(time.Second))).Round(time.Second), v.Authority, v.FailoverComplete, v.Machines, v.MaxMachines, v.Unaccounted)
		}
		fmt.Fprintf(out, ", reported by %s\n", v.Node)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tROLE\tLINK\tWORKERS\tLAG")
	for _, n := range v.Nodes {
		lag := "-"
		if n.LagSeconds > 0 {
			lag = time.Duration(n.LagSeconds * float64(time.Second)).Round(time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\n", n.Name, n.Zone, n.Role, n.Link, n.Workers, lag)
	}
	if len(v.Regions) > 0 {
		fmt.Fprintln(w, "\nREGION\tSTATE\tFOR\tZONES AWAY\tHEARD\tSILENT")
	}
	for _, r := range v.Regions {
		since := time.Duration(r.StateSeconds * float64(time.Second)).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d of %d\t%d\t%d\n", r.Name, r.State, since, r.ZonesUnreachable, r.Zones, r.Reporting, r.Silent)
	}
	if len(v.Zones) > 0 {
		fmt.Fprintln(w, "\nZONE\tSTATE\tFOR\tHEARD\tSILENT\tTASKS AWAITING PROOF")
	}
	for _, z := range v.Zones {
		since := time.Duration(z.StateSeconds * float64(time.Second)).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", z.Name, z.State, since, z.Reporting, z.Silent, z.UnconfirmedTasks)
	}
	w.Flush()
	if r := v.Records; r != nil {
		fmt.Fprintf(out, "\nrecords: era %d, complete replicas at %s", r.Era, cmp.Or(strings.Join(r.Replicas, ", "), "no other node"))
		if r.LossReason != "" {
			fmt.Fprintf(out, "; data was lost %s ago (%s), %d restored from %s, %d not yet written back",
				time.Duration(r.SinceSeconds*float64(time.Second)).Round(time.Second), r.LossReason, r.Restored, cmp.Or(r.Source, "no replica"), r.Pending)
		}
		if len(r.UnreadableJobs) > 0 {
			fmt.Fprintf(out, "; unreadable jobs: %s", strings.Join(r.UnreadableJobs, ", "))
		}
		fmt.Fprintln(out)
	}
}
