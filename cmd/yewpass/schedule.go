package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yewpass/internal/schedule"
)

func scheduleCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "schedule", Aliases: []string{"schedules"}, Short: "Add, show and change the schedules of recurring jobs",
		Long: "A schedule creates jobs at times of day on the dates of a recurrence rule, adjusted to a calendar of business days. docs/operations/schedules.md describes its file.",
		Example: "  yewpass schedule preview nightly.toml --operators deploy/operators.toml --count 5\n" +
			"  yewpass schedule add nightly.toml --node 10.0.0.1:8080\n" +
			"  yewpass schedule history nightly --json",
	}
	cmd.AddCommand(schedulePreviewCommand(), schedulePutCommand("add", "Add the schedule that a TOML file (- for standard input) describes"),
		schedulePutCommand("edit", "Replace the definition of the schedule that a TOML file (- for standard input) names"),
		scheduleListCommand(), scheduleShowCommand(), scheduleHistoryCommand(), scheduleUpcomingCommand(), scheduleRunCommand(),
		scheduleActionCommand("pause", "Stop creating the jobs of a schedule until it is resumed", http.MethodPost, "/pause"),
		scheduleActionCommand("resume", "Resume a schedule; occurrences missed during the pause do not run", http.MethodPost, "/resume"),
		scheduleActionCommand("remove", "Remove a schedule; jobs that it has created continue", http.MethodDelete, ""))
	return cmd
}

func readInput(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(path)
}

func readScheduleFile(cmd *cobra.Command, path string) (*schedule.File, error) {
	data, err := readInput(cmd, path)
	if err != nil {
		return nil, err
	}
	f, err := schedule.ParseTOML(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func schedulePath(name string) string { return "/v2/schedules/" + url.PathEscape(name) }

func schedulePutCommand(verb, short string) *cobra.Command {
	cmd := &cobra.Command{Use: verb + " FILE", Short: short, Args: cobra.ExactArgs(1), Example: "  yewpass schedule " + verb + " nightly.toml"}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	match := new(string)
	if verb == "edit" {
		match = cmd.Flags().String("if-match", "", "ETag of the version to replace (default: the current one)")
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		f, err := readScheduleFile(cmd, args[0])
		if err != nil {
			return err
		}
		header := http.Header{"If-None-Match": {"*"}}
		if verb == "edit" {
			if *match == "" {
				var v schedule.View
				if err := doRequest(http.MethodGet, *node, schedulePath(f.Name), nil, nil, &v); err != nil {
					return err
				}
				*match = v.ETag
			}
			header = http.Header{"If-Match": {*match}}
		}
		data, err := json.Marshal(f)
		if err != nil {
			return err
		}
		var v schedule.View
		if err := doRequest(http.MethodPut, *node, schedulePath(f.Name), data, header, &v); err != nil {
			return err
		}
		return printResult(cmd, *asJSON, v, func(w io.Writer) { printSchedule(w, &v) })
	}
	return cmd
}

func jsonFlag(cmd *cobra.Command) *bool {
	return cmd.Flags().Bool("json", false, "print JSON")
}

// printResult prints v as JSON, or the tab-separated columns that text writes.
func printResult(cmd *cobra.Command, asJSON bool, v any, text func(w io.Writer)) error {
	if asJSON {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func formatTime(t *time.Time) string {
	if t == nil || t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}

func formatNextStart(u *schedule.Upcoming) string {
	if u == nil {
		return "-"
	}
	return u.Start.Format(time.RFC3339)
}

func printSchedule(w io.Writer, v *schedule.View) {
	var f schedule.File
	if json.Unmarshal(v.Schedule, &f) != nil {
		return
	}
	state := "active"
	if v.Paused {
		state = "paused"
	}
	if v.Problem != "" {
		state = "creates no jobs: " + v.Problem
	}
	orNone := func(s string) string {
		if s == "" {
			return "-"
		}
		return s
	}
	fmt.Fprintf(w, "name\t%s\nstate\t%s\nnumber\t%d\netag\t%s\nrule\t%s\nat\t%s %s\ncalendar\t%s %s\n", f.Name, state, v.Number, v.ETag, f.Rule,
		strings.Join(f.At, " "), f.Zone, orNone(f.Calendar), f.OnHoliday)
	fmt.Fprintf(w, "due at\t%s\noverlap\t%s\ncatch up\t%s\nmade\t%d\nmissed\t%d\nlate\t%d\nnext\t%s\n", orNone(f.DueAt), orNone(f.Overlap), orNone(f.CatchUp), v.Made, v.Missed, v.Late, formatNextStart(v.Next))
	if v.Next != nil {
		fmt.Fprintf(w, "next job\t%s\n", v.Next.ID)
	}
}

func scheduleShowCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "show NAME", Short: "Show a schedule", Args: cobra.ExactArgs(1)}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var v schedule.View
		if err := doRequest(http.MethodGet, *node, schedulePath(args[0]), nil, nil, &v); err != nil {
			return err
		}
		return printResult(cmd, *asJSON, v, func(w io.Writer) { printSchedule(w, &v) })
	}
	return cmd
}

func scheduleListCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "list", Short: "List all schedules", Args: cobra.NoArgs}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		all := schedule.ListPage{Schedules: []schedule.Summary{}}
		for after := ""; ; {
			var p schedule.ListPage
			if err := doRequest(http.MethodGet, *node, "/v2/schedules?limit=200&after="+url.QueryEscape(after), nil, nil, &p); err != nil {
				return err
			}
			all.Schedules = append(all.Schedules, p.Schedules...)
			if !p.Truncated || len(p.Schedules) == 0 {
				break
			}
			after = p.Schedules[len(p.Schedules)-1].Name
		}
		return printResult(cmd, *asJSON, all, func(w io.Writer) {
			fmt.Fprintln(w, "NAME\tNEXT\tMADE\tMISSED\tLATE\tRULE")
			for _, s := range all.Schedules {
				when := formatNextStart(s.Next)
				if s.Paused {
					when = "paused"
				}
				if s.Problem != "" {
					when = s.Problem
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", s.Name, when, s.Made, s.Missed, s.Late, s.Rule)
			}
		})
	}
	return cmd
}

func scheduleHistoryCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "history NAME", Short: "Show the last occurrences of a schedule, newest first", Args: cobra.ExactArgs(1)}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var h schedule.History
		if err := doRequest(http.MethodGet, *node, schedulePath(args[0])+"/history", nil, nil, &h); err != nil {
			return err
		}
		return printResult(cmd, *asJSON, h, func(w io.Writer) {
			fmt.Fprintln(w, "PLANNED\tSTATE\tMADE\tSTARTED\tDONE\tDUE\tJOB\tREASON")
			for _, p := range h.History {
				state := p.State
				if p.Late {
					state += ", late"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", formatTime(p.Planned), state, formatTime(p.Made), formatTime(p.Started), formatTime(p.Done), formatTime(p.Due), p.ID, p.Reason)
			}
		})
	}
	return cmd
}

func scheduleUpcomingCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "upcoming NAME", Short: "Show the next occurrences of a schedule and the ids of their jobs", Args: cobra.ExactArgs(1)}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	count := cmd.Flags().Int("count", 10, "number of occurrences, at most 100")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var c schedule.UpcomingList
		if err := doRequest(http.MethodGet, *node, schedulePath(args[0])+"/upcoming?count="+strconv.Itoa(*count), nil, nil, &c); err != nil {
			return err
		}
		return printResult(cmd, *asJSON, c, func(w io.Writer) {
			fmt.Fprintln(w, "START\tDUE\tJOB\tREMARK")
			for _, u := range c.Upcoming {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", u.Start.Format(time.RFC3339), formatTime(u.Due), u.ID, u.Remark)
			}
		})
	}
	return cmd
}

func scheduleRunCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "run NAME", Short: "Run the job of a schedule now, once for each request name", Args: cobra.ExactArgs(1),
		Example: "  yewpass schedule run nightly --request ticket-4711"}
	node := nodeFlag(cmd)
	jsonFlag(cmd) // accepted for consistency; the output is always JSON, as for submit
	request := cmd.Flags().String("request", "", "name of this request; repeating a request with the same name has no effect")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if *request == "" {
			return fmt.Errorf("run: --request is required")
		}
		data, err := json.Marshal(map[string]string{"request": *request})
		if err != nil {
			return err
		}
		return callAndPrint(cmd, http.MethodPost, *node, schedulePath(args[0])+"/run", data)
	}
	return cmd
}

func scheduleActionCommand(verb, short, method, path string) *cobra.Command {
	cmd := &cobra.Command{Use: verb + " NAME", Short: short, Args: cobra.ExactArgs(1)}
	node, asJSON := nodeFlag(cmd), jsonFlag(cmd)
	match := cmd.Flags().String("if-match", "", "change the schedule only if it has this ETag")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		header := http.Header{}
		if *match != "" {
			header.Set("If-Match", *match)
		}
		var v json.RawMessage
		if err := doRequest(method, *node, schedulePath(args[0])+path, nil, header, &v); err != nil {
			return err
		}
		return printResult(cmd, *asJSON, v, func(w io.Writer) { fmt.Fprintf(w, "%s: %sd\n", args[0], verb) })
	}
	return cmd
}
