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

// HeartbeatCost is the cost of one heartbeat for a worker, including HTTP and JSON.
type HeartbeatCost struct {
	Tasks      int     `json:"tasks"` // in each heartbeat
	Heartbeats int     `json:"reports"`
	Seconds    float64 `json:"seconds"`  // CPU time per heartbeat
	Bytes      float64 `json:"bytes"`    // both directions, per heartbeat
	MemoryMB   float64 `json:"memoryMB"` // resident memory of the process
}

// costHeartbeats is the number of heartbeats in a measurement.
const costHeartbeats = 4000

// tasksPerHeartbeat is the planned mean number of tasks on a worker.
const tasksPerHeartbeat = 16

// MeasureHeartbeatCost measures the cost of heartbeats in a child process. The program gets the
// arguments and a server's address. It must call SendHeartbeats and print the result as JSON.
func MeasureHeartbeatCost(ctx context.Context, program string, arguments ...string) (cost HeartbeatCost, err error) {
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

// SendHeartbeats sends a measurement's heartbeats to addr and returns the mean cost of one.
func SendHeartbeats(addr string) (cost HeartbeatCost, err error) {
	link := newWorkerLink()
	rep := heartbeat.Report{Host: "host-000231", Address: "10.1.0.232:9000", InstanceType: "node", Zone: "r1-z1", Incarnation: 1, FencingToken: 7}
	for i := range tasksPerHeartbeat {
		rep.Tasks = append(rep.Tasks, heartbeat.Task{ID: heartbeat.TaskID{Job: "wk-0000412", Index: 100 + i}, Attempt: 7<<28 + uint64(i), Phase: heartbeat.Running})
	}
	before := processCPUTime()
	for range costHeartbeats {
		rep.Counter++
		resp, err := link.client.Post("http://"+addr+"/hello", "application/json", bytes.NewReader(heartbeatBody(rep)))
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
	used := processCPUTime() - before
	s, err := readProcessUsage(os.Getpid())
	return HeartbeatCost{tasksPerHeartbeat, costHeartbeats, used.Seconds() / costHeartbeats, float64(link.bytes.Load()) / costHeartbeats, megabytes(s.memory)}, err
}

// processCPUTime returns the CPU time used by this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
