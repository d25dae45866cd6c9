package scenario

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Slope is a linear fit of a quantity measured at several sizes: Intercept + PerWorker*workers.
type Slope struct {
	Name       string    `json:"name"`
	Intercept  float64   `json:"base"`
	PerWorker  float64   `json:"each"`
	Measured   []float64 `json:"measured"`
	Workers    []int     `json:"workers"`
	WorstError float64   `json:"worstError"` // largest relative error of the fit
}

// At returns the fitted value for a number of workers.
func (s *Slope) At(workers int) float64 { return s.Intercept + s.PerWorker*float64(workers) }

// fittedQuantities are the figures that FitSlopes fits. PrintSlopes prints the names.
var fittedQuantities = []struct {
	name string
	of   func(*ScaleReport) float64
}{
	{"leader, cores", func(r *ScaleReport) float64 { return r.leader().CPU }},
	{"leader, cores at the peak", func(r *ScaleReport) float64 { return r.leader().PeakCPU }},
	{"leader, MB", func(r *ScaleReport) float64 { return r.leader().PeakMB }},
	{"another controller, cores", func(r *ScaleReport) float64 { return r.followers(func(c ControllerUsage) float64 { return c.CPU }) }},
	{"another controller, MB", func(r *ScaleReport) float64 { return r.followers(func(c ControllerUsage) float64 { return c.PeakMB }) }},
	{"state service, requests a second", func(r *ScaleReport) float64 { return r.State.Requests }},
	{"state service, changes a second", func(r *ScaleReport) float64 { return r.State.Writes }},
	{"reports to the leader, KB a second", func(r *ScaleReport) float64 { return float64(r.Messages["peer reports"].Bytes) / 1024 }},
	{"replies from the leader, KB a second", func(r *ScaleReport) float64 { return float64(r.Messages["peer replies"].Bytes) / 1024 }},
	{"copies of records, KB a second", func(r *ScaleReport) float64 { return float64(r.Messages["peer copy"].Bytes) / 1024 }},
	{"a worker, bytes a second", func(r *ScaleReport) float64 { return r.Worker.Bytes }},
	{"starts a second", func(r *ScaleReport) float64 { return r.Starts }},
	{"tasks running", func(r *ScaleReport) float64 { return float64(r.Running) }},
	{"submission accepted, p99 s", func(r *ScaleReport) float64 { return r.Accept["urgent"].P99 }},
}

// leader returns the controller that was leader for the longest time.
func (r *ScaleReport) leader() ControllerUsage {
	var leader ControllerUsage
	for _, c := range r.Controllers {
		if c.LeaderSeconds >= leader.LeaderSeconds {
			leader = c
		}
	}
	return leader
}

// followers returns the mean of a figure over the controllers that were never leader.
func (r *ScaleReport) followers(of func(ControllerUsage) float64) float64 {
	sum, n := 0.0, 0
	for _, c := range r.Controllers {
		if c.LeaderSeconds == 0 {
			sum += of(c)
			n++
		}
	}
	return sum / float64(max(1, n))
}

// FitSlopes fits each quantity to the number of workers. The reports must have at least three
// different numbers of workers.
func FitSlopes(reports []*ScaleReport) ([]Slope, error) {
	sizes := map[int]bool{}
	for _, r := range reports {
		sizes[r.Plan.Workers] = true
	}
	if len(sizes) < 3 {
		return nil, fmt.Errorf("got reports of %d different sizes, need at least three", len(sizes))
	}
	var slopes []Slope
	for _, q := range fittedQuantities {
		s := Slope{Name: q.name}
		for _, r := range reports {
			s.Workers = append(s.Workers, r.Plan.Workers)
			s.Measured = append(s.Measured, q.of(r))
		}
		s.fit()
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// fit computes the least-squares fit and its largest relative error.
func (s *Slope) fit() {
	n := float64(len(s.Workers))
	var x, y, xx, xy float64
	for i, w := range s.Workers {
		v := float64(w)
		x, y, xx, xy = x+v, y+s.Measured[i], xx+v*v, xy+v*s.Measured[i]
	}
	s.PerWorker = (n*xy - x*y) / (n*xx - x*x)
	s.Intercept = (y - s.PerWorker*x) / n
	for i, w := range s.Workers {
		if s.Measured[i] != 0 {
			s.WorstError = max(s.WorstError, math.Abs(s.At(w)-s.Measured[i])/math.Abs(s.Measured[i]))
		}
	}
}

// PrintSlopes writes a table of the fits, with their predictions for the given numbers of workers.
func PrintSlopes(out io.Writer, slopes []Slope, sizes []int) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\t")
	if len(slopes) > 0 {
		for _, n := range slopes[0].Workers {
			fmt.Fprintf(w, "%d\t", n)
		}
	}
	fmt.Fprint(w, "base\teach 1000\tworst error\t")
	for _, n := range sizes {
		fmt.Fprintf(w, "at %d\t", n)
	}
	fmt.Fprintln(w)
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t", s.Name)
		for _, v := range s.Measured {
			fmt.Fprintf(w, "%.4g\t", v)
		}
		fmt.Fprintf(w, "%.3g\t%.3g\t%.0f%%\t", s.Intercept, 1000*s.PerWorker, 100*s.WorstError)
		for _, n := range sizes {
			fmt.Fprintf(w, "%.3g\t", s.At(n))
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}
