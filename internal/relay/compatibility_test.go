package relay

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
)

// goldenBatches has the batches that a relay of version 5990396 sent for relayedReports, one per
// line. Never regenerate it.
const goldenBatches = "testdata/batches-5990396.jsonl"

func relayedReports() [][]heartbeat.Report {
	task := func(index int, phase heartbeat.Phase, cause string) heartbeat.Task {
		return heartbeat.Task{ID: heartbeat.TaskID{Job: "wk-7", Index: index}, Attempt: 5, Phase: phase, Cause: cause}
	}
	machine := func(counter uint64, tasks ...heartbeat.Task) heartbeat.Report {
		return heartbeat.Report{
			Host: "host-1", Address: "10.1.0.1:9000", InstanceType: "g8", Zone: "hall-a", Spot: true,
			Incarnation: 3, Counter: counter, FencingToken: 41, Tasks: tasks,
		}
	}
	warned := machine(4, task(1, heartbeat.Exited, "done"), task(4, heartbeat.Pulling, ""))
	warned.HasNotice, warned.Notice = true, 119500*time.Millisecond
	other := heartbeat.Report{Host: "host-2", InstanceType: "c4", Zone: "hall-b", Incarnation: 1, Counter: 1}
	return [][]heartbeat.Report{
		{machine(1, task(0, heartbeat.Pulling, ""), task(1, heartbeat.Running, ""), task(2, heartbeat.Checkpointing, "")), other},
		{machine(2, task(0, heartbeat.Running, ""), task(1, heartbeat.Running, ""), task(2, heartbeat.Exited, "stopped"))},
		{machine(3, task(0, heartbeat.Running, ""), task(1, heartbeat.Running, ""), task(2, heartbeat.Exited, "stopped"))},
		{warned},
		{}, // host-2 no longer reports here
	}
}

func encodeAll(all [][]heartbeat.Report) (batches []*Batch) {
	encoder := NewEncoder(6)
	var ref uint64
	for i, reports := range all {
		if i == len(all)-1 {
			encoder.Forget("host-2")
		}
		var deltas []Delta
		for _, r := range reports {
			ref++
			deltas = append(deltas, encoder.Encode(ref, &r))
		}
		batches = append(batches, encoder.Batch(deltas, nil))
	}
	return batches
}

func goldenLines(t *testing.T) (lines [][]byte) {
	t.Helper()
	data, err := os.ReadFile(goldenBatches)
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(data) {
		lines = append(lines, bytes.TrimSpace(line))
	}
	return lines
}

// TestBatchesOf5990396 checks that the golden batches are decoded to the reports and the reports
// encoded to the same batches, so that both versions are compatible.
func TestBatchesOf5990396(t *testing.T) {
	all := relayedReports()
	golden := goldenLines(t)
	if len(golden) != len(all) {
		t.Fatalf("%d golden batches, want %d", len(golden), len(all))
	}
	var decoder Decoder
	for i, batch := range encodeAll(all) {
		data, err := json.Marshal(batch)
		if err != nil {
			t.Fatal(err)
		}
		if string(data) != string(golden[i]) {
			t.Errorf("batch %d is encoded as\n%s, want\n%s", i+1, data, golden[i])
		}
		var read Batch
		if err := json.Unmarshal(golden[i], &read); err != nil {
			t.Fatal(err)
		}
		got, _, err := decoder.Decode(&read)
		if err != nil {
			t.Fatalf("batch %d: %v", i+1, err)
		}
		if !reflect.DeepEqual(got, all[i]) {
			t.Errorf("batch %d is decoded as\n%+v, want\n%+v", i+1, got, all[i])
		}
	}
}
