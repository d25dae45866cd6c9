package kvclient

import (
	"encoding/json"
	"reflect"
	"testing"

	"yewpass/internal/liveconfig"
)

// TestConfigRecords: what is written of the configuration is read back, and what cannot be
// one is none.
func TestConfigRecords(t *testing.T) {
	const key = "yewpass/live/config/team/vision"
	for k, v := range map[string]any{
		key:                        &liveconfig.TeamRecord{Team: liveconfig.Team{Name: "vision", CPUs: 2, CPUsMax: 9.5, GPUs: 1, GPUsMax: 4, Retired: true}, Revision: 12},
		"yewpass/live/config/head": &liveconfig.HeadRecord{Revision: 12},
	} {
		if got := DecodeRecord(k, EncodeRecord(v)); !reflect.DeepEqual(got, v) {
			t.Errorf("%s: %+v is read as %+v", k, v, got)
		}
	}
	for _, text := range []string{
		`{"type":"configTeam","revision":0,"name":"vision"}`, `{"type":"configTeam","revision":3,"name":"other"}`,
		`{"type":"configTeam","revision":3,"name":"vision","cpusMax":-1}`, `{"type":"configTeam","revision":3,"name":"vision","cpus":3,"cpusMax":2}`,
		`{"type":"configHead","revision":0}`, `{"type":"configHead","revision":"x"}`, `7`,
	} {
		if got := DecodeRecord(key, json.RawMessage(text)); got != nil {
			t.Errorf("%s is read as %+v", text, got)
		}
	}
}
