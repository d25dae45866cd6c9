package cloud

import (
	"testing"

	"yewpass/internal/provider"
	"yewpass/internal/rpc"
	"yewpass/internal/timeline"
)

// FuzzDecode checks that a response is either decoded to plausible values or has an unknown
// outcome.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"flavors":[{"name":"s","vcpus":8,"gpus":1,"memGb":64,"fetchGbPerS":0.5,"rate":1,"lowPrice":0.3,"readyS":20,"halls":["a"]}]}`,
		`{"flavors":[{"name":"s","vcpus":1e308,"readyS":-1e308}]}`, `{"hosts":["h1","h2","h3"]}`, `{"hosts":[{"id":"h2","ageS":1e308},{"id":"h1"}],"truncated":true}`,
		`{"error":"no capacity"}`, `{"error":7}`, ``, "\xff", `null`, `[]`,
	} {
		for op := provider.Catalog; op <= provider.List; op++ {
			f.Add(int(op), 200, []byte(s))
		}
		f.Add(int(provider.ScaleOut), 503, []byte(s))
	}
	f.Fuzz(func(t *testing.T, op, status int, data []byte) {
		r := DecodeResponse(provider.Request{Op: provider.Op(op), Count: 2, After: "h1"}, status, data)
		if r.Outcome == rpc.OK && status != 200 || len(r.Hosts) > 2 {
			t.Fatalf("unexpected response %+v", r)
		}
		for _, x := range r.InstanceTypes {
			if x.Name == "" || x.Capacity.CPU <= 0 || x.Capacity.GPU < 0 || x.Capacity.Mem < 0 || x.BootTime < 0 || x.BootTime > timeline.Forever || !(x.OnDemandRate >= 0) || !(x.ImageGBps >= 0) {
				t.Fatalf("accepted instance type %+v", x)
			}
		}
		last := "h1"
		for _, x := range r.Instances {
			if x.Host <= last || x.Age > timeline.Forever || x.Age < -timeline.Forever {
				t.Fatalf("accepted instance %+v after %s", x, last)
			}
			last = x.Host
		}
	})
}
