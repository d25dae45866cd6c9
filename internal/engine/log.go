package engine

import "log/slog"

// LogEntry is an output that the driver writes to the operators' log.
type LogEntry struct {
	Level slog.Level
	Text  string
	Attrs []any
}
