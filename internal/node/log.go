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

// SetupLog configures the default logger to write text to standard error at the level in LOG_LEVEL
// (default info). It also ignores SIGPIPE for the whole process.
func SetupLog() {
	level := slog.LevelInfo
	if s := os.Getenv("LOG_LEVEL"); s != "" {
		if err := level.UnmarshalText([]byte(strings.ToUpper(s))); err != nil {
			level = slog.LevelInfo
		}
	}
	// Without this, a write to standard error after its reader has exited ends the process.
	signal.Ignore(syscall.SIGPIPE)
	slog.SetDefault(slog.New(slog.NewTextHandler(newLogWriter(os.Stderr), &slog.HandlerOptions{Level: level})))
}

// maxQueuedLines bounds the log lines that are buffered for standard error.
const maxQueuedLines = 512

var droppedLines = metrics.NewCounter(`yewpass_log_lines_lost_total`)

// logWriter writes log lines in its own goroutine, so that a pipe that nobody reads cannot block
// the core. Lines that exceed the queue are dropped and counted; the count is logged with the next
// line.
type logWriter struct {
	queue   chan []byte
	dropped atomic.Int64
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{queue: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.queue {
			if n := w.dropped.Swap(0); n > 0 {
				line = append(fmt.Appendf(nil, "level=WARN msg=\"log lines lost\" lines=%d\n", n), line...)
			}
			to.Write(line) // a write error cannot be reported anywhere
		}
	}()
	return w
}

// Write queues a copy of the line without blocking. It never returns an error.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}
