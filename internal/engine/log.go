package engine

import "log/slog"

// LogEntry is a line for the operators' log.
type LogEntry struct {
	Level slog.Level
	Text  string
	Attrs []any
}
