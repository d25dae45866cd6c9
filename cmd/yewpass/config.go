package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yewpass/internal/liveconfig"
	"yewpass/internal/request"
	"yewpass/internal/tomltext"
	"yewpass/internal/view"
)

func configCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "config", Short: "Show and change the live configuration of teams",
		Long: "Changes override the platform's settings. docs/operations/configuration.md describes the file.",
		Example: "  yewpass config list --node 10.0.0.1:8080\n" +
			"  yewpass config set teams.toml --if-revision 17\n" +
			"  yewpass config status --json",
	}
	cmd.AddCommand(configGetCommand(), configListCommand(), configSetCommand(), configStatusCommand())
	return cmd
}

const teamsPath = "/v2/config/teams"

func configGetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "get TEAM", Short: "Show the configuration of a team", Args: cobra.ExactArgs(1)}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var v view.Team
		if err := doRequest(http.MethodGet, *node, teamsPath+"/"+url.PathEscape(args[0]), nil, nil, &v); err != nil {
			return err
		}
		return printResult(cmd, *asJSON, v, func(w io.Writer) { printTeams(w, []view.Team{v}) })
	}
	return cmd
}

func configListCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "list", Short: "List all teams", Args: cobra.NoArgs}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		all, err := listTeams(*node)
		if err != nil {
			return err
		}
		return printResult(cmd, *asJSON, all, func(w io.Writer) {
			fmt.Fprintf(w, "revision %d\n", all.Revision)
			printTeams(w, all.Teams)
		})
	}
	return cmd
}

// listTeams fetches all pages of the list of teams.
func listTeams(node string) (all view.TeamPage, err error) {
	query := url.Values{"limit": {strconv.Itoa(request.MaxCount)}}
	for {
		var page view.TeamPage
		if err := doRequest(http.MethodGet, node, teamsPath+"?"+query.Encode(), nil, nil, &page); err != nil {
			return all, err
		}
		all.Revision, all.Teams = page.Revision, append(all.Teams, page.Teams...)
		if !page.Truncated || len(page.Teams) == 0 {
			return all, nil
		}
		query.Set("after", page.Teams[len(page.Teams)-1].Name)
	}
}

func printTeams(out io.Writer, teams []view.Team) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tCPUS\tCPUS MAX\tGPUS\tGPUS MAX\tIN USE\tREVISION\tREMARK")
	for _, t := range teams {
		remark := ""
		if t.Retired {
			remark = "retired"
		}
		if t.Damaged {
			remark += " record unreadable"
		}
		fmt.Fprintf(w, "%s\t%g\t%g\t%g\t%g\t%g/%g\t%d\t%s\n", t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax, t.InUse.CPUs, t.InUse.GPUs, t.Revision, remark)
	}
	w.Flush()
}

// teamsFile is the TOML file of a configuration change.
type teamsFile struct {
	Teams []liveconfig.TeamChange `toml:"teams" json:"teams"`
}

// parseTeamsFile decodes a teams file and validates it without a server.
func parseTeamsFile(data []byte) (f teamsFile, err error) {
	if err := tomltext.Decode(data, &f, true); err != nil {
		return f, err
	}
	change := liveconfig.Change{Teams: f.Teams}
	return f, change.Validate(len(f.Teams))
}

func configSetCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "set FILE", Short: "Change the teams in a TOML file (- for standard input) atomically", Args: cobra.ExactArgs(1),
		Long:    "Each [[teams]] table has the fields name, cpus, cpus_max, gpus, gpus_max and retired, and replaces the configuration of the team. An absent field means no guarantee or no limit, as in the settings. Prints the revision that contains the change.",
		Example: "  yewpass config set teams.toml\n  printf '[[teams]]\\nname = \"vision\"\\ncpus_max = 120.0\\n' | yewpass config set - --if-revision 17",
	}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	revision := cmd.Flags().Uint64("if-revision", 0, "change the teams only if the whole configuration has this revision (default: only if these teams do not change while the command runs)")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		data, err := readInput(cmd, args[0])
		if err != nil {
			return err
		}
		file, err := parseTeamsFile(data)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		change := struct {
			teamsFile
			IfRevision *uint64 `json:"ifRevision,omitempty"`
		}{teamsFile: file}
		if cmd.Flags().Changed("if-revision") {
			change.IfRevision = revision
		} else if err := requireCurrentRevisions(*node, change.Teams); err != nil {
			return err
		}
		body, err := json.Marshal(change)
		if err != nil {
			return err
		}
		var changed view.ConfigChanged
		if err := doRequest(http.MethodPost, *node, "/v2/config", body, nil, &changed); err != nil {
			return err
		}
		return printResult(cmd, *asJSON, changed, func(w io.Writer) { fmt.Fprintf(w, "revision %d\n", changed.Revision) })
	}
	return cmd
}

// requireCurrentRevisions makes a change conditional on the current revisions of its teams, so that
// it cannot overwrite a concurrent change.
func requireCurrentRevisions(node string, changes []liveconfig.TeamChange) error {
	all, err := listTeams(node)
	if err != nil {
		return err
	}
	revisions := map[string]uint64{}
	for _, t := range all.Teams {
		revisions[t.Name] = t.Revision
	}
	for i := range changes {
		at := revisions[changes[i].Name]
		changes[i].IfRevision = &at
	}
	return nil
}

func configStatusCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "status", Short: "Show the configuration revision of each controller", Args: cobra.NoArgs}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var v view.ConfigStatus
		if err := doRequest(http.MethodGet, *node, "/v2/config", nil, nil, &v); err != nil {
			return err
		}
		return printResult(cmd, *asJSON, v, func(w io.Writer) { printConfigStatus(w, &v) })
	}
	return cmd
}

func printConfigStatus(out io.Writer, v *view.ConfigStatus) {
	fmt.Fprintf(out, "revision %d, %d changes under this leader, %d waiting, last one propagated in %s\n",
		v.Revision, v.Changes, v.Waiting, time.Duration(v.PropagationSeconds*float64(time.Second)).Round(time.Millisecond))
	if v.Refusal != "" {
		fmt.Fprintf(out, "changes are refused: %s\n", v.Refusal)
	}
	for _, name := range v.Damaged {
		fmt.Fprintf(out, "unreadable record: %s\n", name)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tREVISION\tCONFIRMED\tLIVE CONFIGURATION")
	for _, n := range v.Nodes {
		confirmed := "never"
		if n.AgeSeconds >= 0 {
			confirmed = time.Duration(n.AgeSeconds*float64(time.Second)).Round(time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%v\n", n.Name, n.Revision, confirmed, n.SupportsLiveConfig)
	}
	w.Flush()
}
