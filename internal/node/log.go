package node

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// SetupLog sends structured logs to standard error at the level that LOG_LEVEL
// names.
func SetupLog() {
	level := slog.LevelInfo
	if s := os.Getenv("LOG_LEVEL"); s != "" {
		if err := level.UnmarshalText([]byte(strings.ToUpper(s))); err != nil {
			level = slog.LevelInfo
		}
	}
	// Whoever reads our log may go away; the runtime would end the process with it.
	signal.Ignore(syscall.SIGPIPE)
	slog.SetDefault(slog.New(slog.NewTextHandler(newLogWriter(os.Stderr), &slog.HandlerOptions{Level: level})))
}

// maxQueuedLines is how many lines wait for standard error at the most.
const maxQueuedLines = 512

var droppedLines = metrics.NewCounter(`yewpass_log_lines_lost_total`)

// logWriter is the actor that writes the log. Standard error may be a pipe that
// nobody reads: what logs must not wait for it, least of all the core, which would
// renew no lease and answer no heartbeat. What does not fit is counted and reported later.
type logWriter struct {
	lines chan []byte
	lost  atomic.Int64
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			if n := w.lost.Swap(0); n > 0 {
				line = append(fmt.Appendf(nil, "level=WARN msg=\"log lines lost\" lines=%d\n", n), line...)
			}
			to.Write(line) // what fails, fails: there is nowhere to say so
		}
	}()
	return w
}

// Write queues a copy of the line. It never waits: a line that finds no room is lost and counted.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.lost.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}
