package cloud

import (
	"testing"

	"yewpass/internal/core"
	"yewpass/internal/rpc"
)

// TestDecode: what is malformed or unexpected is an unknown outcome, never a
// success.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		op     core.CloudOp
		status int
		body   string
		want   rpc.Outcome
	}{
		{core.CloudScaleOut, 200, `{"hosts":["host-1"]}`, rpc.OK},
		{core.CloudScaleOut, 200, `{"hosts":["host-1","host-2","host-3"]}`, rpc.Unknown}, // more than asked for
		{core.CloudScaleOut, 200, `{"hosts":7}`, rpc.Unknown},
		{core.CloudScaleOut, 503, `{"error":"no capacity"}`, rpc.Refused},
		{core.CloudScaleOut, 503, `{"error":"trouble"}`, rpc.Unknown},
		{core.CloudScaleOut, 503, ``, rpc.Unknown},
		{core.CloudScaleOut, 429, ``, rpc.Unknown},
		{core.CloudScaleOut, 400, ``, rpc.Invalid},
		{core.CloudRelease, 200, `{}`, rpc.OK},
		{core.CloudRelease, 500, ``, rpc.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":96,"gpus":8,"memGb":768}]}`, rpc.OK},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"","vcpus":96}]}`, rpc.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":1e300}]}`, rpc.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":1e-300}]}`, rpc.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":8,"readyS":1e300}]}`, rpc.Unknown},
		{core.CloudCatalog, 200, `{"flavors":[{"name":"g8","vcpus":8,"rate":-1}]}`, rpc.Unknown},
		{core.CloudList, 200, `{"hosts":[{"id":"host-6"},{"id":"host-7","ageS":1e300}],"truncated":true}`, rpc.OK},
		{core.CloudList, 200, `{"hosts":[{"id":"host-5"}],"truncated":true}`, rpc.Unknown}, // the page before
		{core.CloudList, 200, `{"hosts":[{"id":"host-7"},{"id":"host-6"}]}`, rpc.Unknown},
		{core.CloudCatalog, 200, `nothing`, rpc.Unknown},
		{core.CloudList, 200, `{"hosts":[{"id":"host-6","ageS":"x"}]}`, rpc.Unknown},
	} {
		if got := Decode(core.CloudCall{Op: c.op, Count: 2, After: "host-5"}, c.status, []byte(c.body)); got.Outcome != c.want {
			t.Errorf("%v %d %s: %v, want %v", c.op, c.status, c.body, got.Outcome, c.want)
		}
	}
}
