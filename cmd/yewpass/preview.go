package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"yewpass/internal/calendar"
	"yewpass/internal/operators"
	"yewpass/internal/schedule"
)

func schedulePreviewCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "preview FILE", Short: "Show the occurrences of a schedule file, without a server", Args: cobra.ExactArgs(1),
		Long: "Prints one line for each occurrence: start, deadline (or -), job id and a remark, separated by tabs. The part of the id that the server assigns is shown as ?.",
		Example: "  yewpass schedule preview nightly.toml --operators deploy/operators.toml --from 2027-01-01T00:00:00Z --count 12\n" +
			"  yewpass schedule preview nightly.toml --all"}
	var p previewOptions
	cmd.Flags().StringVar(&p.operators, "operators", "", "operators' file with the calendars")
	cmd.Flags().StringVar(&p.from, "from", "", "show occurrences that start at or after this time (RFC 3339; default: now)")
	cmd.Flags().IntVar(&p.count, "count", 10, "number of occurrences")
	cmd.Flags().BoolVar(&p.all, "all", false, "also show skipped occurrences")
	asJSON := jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		lines, err := p.run(cmd, args[0])
		if err != nil {
			return err
		}
		if *asJSON {
			return printResult(cmd, true, lines, nil)
		}
		for _, l := range lines {
			fmt.Fprintf(cmd.OutOrStdout(), "%s\t%s\t%s\t%s\n", l.Start.Format(time.RFC3339), formatTime(l.Due), l.ID, l.Remark)
		}
		return nil
	}
	return cmd
}

type previewOptions struct {
	operators string
	from      string
	count     int
	all       bool
}

type previewLine struct {
	schedule.Upcoming
	Skipped bool `json:"skipped,omitempty"`
}

// run returns the occurrences of a schedule file.
func (p *previewOptions) run(cmd *cobra.Command, path string) ([]previewLine, error) {
	file, err := operators.Load(p.operators)
	if err != nil {
		return nil, err
	}
	f, err := readScheduleFile(cmd, path)
	if err != nil {
		return nil, err
	}
	def, err := f.Compile(file.Calendars)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	at, err := p.startTime()
	if err != nil {
		return nil, err
	}
	if p.count < 1 {
		return nil, errors.New("--count: must be at least 1")
	}
	if !def.Timing.OccursAfter(calendar.WallClock(at, def.Timing.Zone())) {
		return nil, fmt.Errorf("%s: rule: never occurs from %s on", path, at.Format(time.RFC3339))
	}
	if p.all {
		return p.allOccurrences(def, at), nil
	}
	return p.scheduledOccurrences(def, at), nil
}

// startTime returns the time of --from, by default the current time.
func (p *previewOptions) startTime() (time.Time, error) {
	if p.from == "" {
		return time.Now(), nil
	}
	at, err := time.Parse(time.RFC3339, p.from)
	if err != nil {
		return at, fmt.Errorf("--from: %q is not a time such as 2027-01-01T00:00:00Z", p.from)
	}
	return at, nil
}

// scheduledOccurrences returns the next occurrences that would run.
func (p *previewOptions) scheduledOccurrences(def *schedule.Definition, at time.Time) (lines []previewLine) {
	cursor := def.CursorAt(at.Add(-time.Nanosecond))
	for range p.count {
		o, ok := def.Next(cursor)
		if !ok {
			break
		}
		lines = append(lines, newPreviewLine(def, o))
		cursor = cursor.AdvanceTo(o)
	}
	return lines
}

// maxMoveDays is an upper bound of the days by which the holiday rule moves an occurrence.
const maxMoveDays = 31

// allOccurrences returns the next occurrences that would run and the skipped ones between them.
func (p *previewOptions) allOccurrences(def *schedule.Definition, at time.Time) (lines []previewLine) {
	first := calendar.DateOf(calendar.WallClock(at, def.Timing.Zone())).AddDate(0, 0, -maxMoveDays)
	running := 0
	for o := range def.Timing.All(first) {
		if o.Start.Before(at) {
			continue
		}
		if running == p.count {
			break
		}
		if !o.Skipped {
			running++
		}
		lines = append(lines, newPreviewLine(def, o))
	}
	return lines
}

// newPreviewLine returns the line of an occurrence. The server's part of the job id is unknown.
func newPreviewLine(def *schedule.Definition, o calendar.Occurrence) previewLine {
	u := *def.Upcoming(0, o)
	u.ID = schedule.PlaceholderJobID(o.Nominal)
	return previewLine{u, o.Skipped}
}
