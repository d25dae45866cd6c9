package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"yewpass/internal/heartbeat"
)

// ReportCost is what one report takes of a worker's processor, all of HTTP and JSON
// included, measured in a process that does nothing else.
type ReportCost struct {
	Tasks    int     `json:"tasks"` // in each report
	Reports  int     `json:"reports"`
	Seconds  float64 `json:"seconds"`  // of a core, a report
	Bytes    float64 `json:"bytes"`    // both ways, a report
	MemoryMB float64 `json:"memoryMB"` // resident, of the process
}

// costReports is how many reports are measured.
const costReports = 4000

// costTasks is how many tasks they name: the plan's mean on a worker.
const costTasks = 16

// MeasureReportCost measures in a process of its own: program and arguments have to call
// MakeReports with the address that is appended to them.
func MeasureReportCost(ctx context.Context, program string, arguments ...string) (cost ReportCost, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cost, err
	}
	defer ln.Close()
	orders := []object{}
	for i := range 2 {
		orders = append(orders, object{"verb": "start", "shard": fmt.Sprintf("wk-0000001/%d", i), "try": 1 << 30})
	}
	answer := encode(object{"epoch": 7, "orders": orders})
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Write(answer)
	}))
	out, err := exec.CommandContext(ctx, program, append(arguments, ln.Addr().String())...).Output()
	if err != nil {
		return cost, err
	}
	return cost, json.Unmarshal(out, &cost)
}

// MakeReports makes the reports that MeasureReportCost measures, to addr, and returns what
// this process has taken for each.
func MakeReports(addr string) (cost ReportCost, err error) {
	link := newWorkerLink()
	rep := heartbeat.Report{Host: "host-000231", Address: "10.1.0.232:9000", InstanceType: "node", Zone: "r1-z1", Incarnation: 1, FencingToken: 7}
	for i := range costTasks {
		rep.Tasks = append(rep.Tasks, heartbeat.Task{ID: heartbeat.TaskID{Job: "wk-0000412", Index: 100 + i}, Attempt: 7<<28 + uint64(i), Phase: heartbeat.Running})
	}
	before := processorTime()
	for range costReports {
		rep.Counter++
		resp, err := link.client.Post("http://"+addr+"/hello", "application/json", bytes.NewReader(reportBody(rep)))
		if err != nil {
			return cost, err
		}
		var v struct {
			Epoch  uint64
			Orders []struct {
				Verb, Shard string
				Try         uint64
			}
		}
		err = json.NewDecoder(resp.Body).Decode(&v)
		resp.Body.Close()
		if err != nil {
			return cost, err
		}
	}
	used := processorTime() - before
	s, err := sampleProcess(os.Getpid())
	return ReportCost{costTasks, costReports, used.Seconds() / costReports, float64(link.bytes.Load()) / costReports, megabytes(s.memory)}, err
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
