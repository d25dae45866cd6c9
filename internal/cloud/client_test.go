package cloud

import (
	"testing"

	"yewpass/internal/provider"
	"yewpass/internal/rpc"
)

// TestDecode checks that a malformed or unexpected response has an unknown outcome.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		op     provider.Op
		status int
		body   string
		want   rpc.Outcome
	}{
		{provider.ScaleOut, 200, `{"hosts":["host-1"]}`, rpc.OK},
		{provider.ScaleOut, 200, `{"hosts":["host-1","host-2","host-3"]}`, rpc.Unknown}, // more than requested
		{provider.ScaleOut, 200, `{"hosts":7}`, rpc.Unknown},
		{provider.ScaleOut, 503, `{"error":"no capacity"}`, rpc.Refused},
		{provider.ScaleOut, 503, `{"error":"trouble"}`, rpc.Unknown},
		{provider.ScaleOut, 503, ``, rpc.Unknown},
		{provider.ScaleOut, 429, ``, rpc.Unknown},
		{provider.ScaleOut, 400, ``, rpc.Invalid},
		{provider.Release, 200, `{}`, rpc.OK},
		{provider.Release, 500, ``, rpc.Unknown},
		{provider.Catalog, 200, `{"flavors":[{"name":"g8","vcpus":96,"gpus":8,"memGb":768}]}`, rpc.OK},
		{provider.Catalog, 200, `{"flavors":[{"name":"","vcpus":96}]}`, rpc.Unknown},
		{provider.Catalog, 200, `{"flavors":[{"name":"g8","vcpus":1e300}]}`, rpc.Unknown},
		{provider.Catalog, 200, `{"flavors":[{"name":"g8","vcpus":1e-300}]}`, rpc.Unknown},
		{provider.Catalog, 200, `{"flavors":[{"name":"g8","vcpus":8,"readyS":1e300}]}`, rpc.Unknown},
		{provider.Catalog, 200, `{"flavors":[{"name":"g8","vcpus":8,"rate":-1}]}`, rpc.Unknown},
		{provider.List, 200, `{"hosts":[{"id":"host-6"},{"id":"host-7","ageS":1e300}],"truncated":true}`, rpc.OK},
		{provider.List, 200, `{"hosts":[{"id":"host-5"}],"truncated":true}`, rpc.Unknown}, // a host of the previous page
		{provider.List, 200, `{"hosts":[{"id":"host-7"},{"id":"host-6"}]}`, rpc.Unknown},
		{provider.Catalog, 200, `nothing`, rpc.Unknown},
		{provider.List, 200, `{"hosts":[{"id":"host-6","ageS":"x"}]}`, rpc.Unknown},
	} {
		if got := DecodeResponse(provider.Request{Op: c.op, Count: 2, After: "host-5"}, c.status, []byte(c.body)); got.Outcome != c.want {
			t.Errorf("%v %d %s: %v, want %v", c.op, c.status, c.body, got.Outcome, c.want)
		}
	}
}
