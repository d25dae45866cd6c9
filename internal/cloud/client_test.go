package cloud

import (
	"testing"

	"yewpass/internal/core"
)

// TestDecode: what is malformed or unexpected is an unknown outcome, never a
// success.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		op     core.CloudOp
		status int
		body   string
		want   core.Outcome
	}{
		{core.CloudScaleOut, 200, `{"hosts":["host-1"]}`, core.OK},
		{core.CloudScaleOut, 200, `{"hosts":["host-1","host-2","host-3"]}`, core.Unknown}, // more than asked for
		{core.CloudScaleOut, 200, `{"hosts":7}`, core.Unknown},
		{core.CloudScaleOut, 503, `{"error":"no capacity"}`, core.Refused},
		{core.CloudScaleOut, 503, `{"error":"trouble"}`, core.Unknown},
		{core.CloudScaleOut, 503, ``, core.Unknown},
		{core.CloudScaleOut, 429, ``, core.Unknown},
		{core.CloudScaleOut, 400, ``, core.Invalid},
		{core.CloudRelease, 200, `{}`, core.OK},
		{core.CloudRelease, 500, ``, core.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":96,"gpus":8,"memGb":768}]}`, core.OK},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"","vcpus":96}]}`, core.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":1e300}]}`, core.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":1e-300}]}`, core.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":8,"readyS":1e300}]}`, core.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":8,"rate":-1}]}`, core.Unknown},
		{core.CloudList, 200, `{"hosts":[{"id":"host-6"},{"id":"host-7","ageS":1e300}],"truncated":true}`, core.OK},
		{core.CloudList, 200, `{"hosts":[{"id":"host-5"}],"truncated":true}`, core.Unknown}, // the page before
		{core.CloudList, 200, `{"hosts":[{"id":"host-7"},{"id":"host-6"}]}`, core.Unknown},
		{core.CloudCatalog, 200, `nothing`, core.Unknown},
		{core.CloudList, 200, `{"hosts":[{"id":"host-6","ageS":"x"}]}`, core.Unknown},
	} {
		if got := Decode(core.CloudCall{Op: c.op, Count: 2, After: "host-5"}, c.status, []byte(c.body)); got.Outcome != c.want {
			t.Errorf("%v %d %s: %v, want %v", c.op, c.status, c.body, got.Outcome, c.want)
		}
	}
}
