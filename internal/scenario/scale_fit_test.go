package scenario

import (
	"math"
	"testing"
)

// TestFitSlopes checks the fit of a linear relation, and that reports of two sizes are rejected.
func TestFitSlopes(t *testing.T) {
	var reports []*ScaleReport
	for _, n := range []int{300, 600, 1200} {
		r := &ScaleReport{Plan: ScalePlan{Workers: n}, State: StoreUsage{Writes: 3 + 0.02*float64(n)}}
		r.Controllers = []ControllerUsage{{Name: "n0", CPU: 9}, {Name: "n1", LeaderSeconds: 30, CPU: 0.01 + 0.0001*float64(n)}}
		reports = append(reports, r)
	}
	slopes, err := FitSlopes(reports)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range slopes {
		want := map[string]float64{"leader, cores": 0.28, "another controller, cores": 9, "state service, changes a second": 57}[s.Name]
		if want != 0 && math.Abs(s.At(2700)-want) > 1e-9 {
			t.Errorf("%s: got %g at 2700 workers, want %g", s.Name, s.At(2700), want)
		}
	}
	if _, err := FitSlopes(reports[:2]); err == nil {
		t.Error("FitSlopes accepted reports of only two sizes")
	}
}
