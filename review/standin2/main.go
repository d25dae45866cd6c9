// Command standin2 plays the cases of the second review: stand-ins for the state service, the cloud,
// workers and users, around real controllers on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// outcome is how a case ended. Its value is the exit status.
type outcome int

const (
	held outcome = iota
	ruleBroken
	couldNotRun
)

var outcomes = [...]string{"the rule held", "the rule was broken", "the case could not run"}

// cases are the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(rec *record, trouble bool) (outcome, string){}

// maxCase is after how long a case ends in any event.
const maxCase = 118 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(int(couldNotRun))
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNotRun))
	}
	rec := &record{file: file, started: time.Now()}
	var once sync.Once
	end := func(o outcome, why string) {
		once.Do(func() {
			closeWorlds()
			rec.add("%s: %s", outcomes[o], why)
			fmt.Printf("%s: %s: %s\n", os.Args[1], outcomes[o], why)
			os.Exit(int(o))
		})
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
			end(couldNotRun, "stopped by a signal")
		case <-time.After(maxCase):
			end(couldNotRun, "it took too long")
		}
	}()
	o, why := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	end(o, why)
}

// begin builds the world of a case and starts its controllers. It returns once one leads.
func begin(rec *record, flavors []flavor, capacity int, set settings) (*world, string) {
	w, err := newWorld(rec, flavors, capacity, set)
	if err == nil {
		err = w.startAll()
	}
	if err != nil {
		return nil, err.Error()
	}
	if !wait(20*time.Second, func() bool { return len(w.ready()) == 3 && w.leader() != nil }) {
		return nil, "the controllers do not get ready"
	}
	return w, ""
}

// smallBox and wideBox are the machine types of the deployment voltaris-sofia, with a shorter boot.
func smallBox(halls ...string) flavor {
	return flavor{Name: "small-box", VCPUs: 8, MemGB: 64, LocalGB: 200, FetchGBPerS: 1, Rate: 0.39, LowPrice: 0.1, ReadyS: 2, Halls: halls}
}

func wideBox(halls ...string) flavor {
	return flavor{Name: "wide-box", VCPUs: 32, MemGB: 64, LocalGB: 200, FetchGBPerS: 1, Rate: 1.18, LowPrice: 0.31, ReadyS: 2, Halls: halls}
}
