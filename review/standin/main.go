// Command standin plays one case of the review: it starts real controllers as processes on loopback
// addresses, against a small state service, cloud, workers and users of its own, and judges what
// those have seen by one rule of the protocol.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// maxDuration ends a case that hangs, as one that could not run.
const maxDuration = 118 * time.Second

// cases maps the names of the cases to what plays them.
var cases = map[string]func(*cluster){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the root of the repository")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (status int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	rec := newRecorder(file)
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	c := &cluster{site: voltaris, rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", done: make(chan struct{})}
	defer c.stop()
	result := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				f, ok := p.(failure)
				if !ok {
					panic(p)
				}
				rec.add("could not run: %s", f.reason)
				result <- cannotRun
				return
			}
			result <- rec.status()
		}()
		cases[name](c)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case status = <-result:
	case <-time.After(maxDuration):
		rec.add("could not run: not over after %s", maxDuration)
		status = cannotRun
	case <-signals:
		rec.add("could not run: stopped by a signal")
		status = cannotRun
	}
	rec.add("result: %s", map[int]string{ruleHeld: "the rule held", ruleBroken: "the rule was broken", cannotRun: "the case could not run"}[status])
	return status
}

// failure is the panic value of a case that cannot go on.
type failure struct{ reason string }

func fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }
