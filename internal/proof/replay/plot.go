package replay

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// bucket is the time that one point of a plot stands for.
const bucket = 5 * time.Second

// Series is what happened over the time of a run, in buckets of five seconds by
// arrival, and by second for goodput.
type Series struct {
	// Attainment is by class: the part of the requests that arrived in a bucket
	// and met their target.
	Attainment map[string][]float64
	// Waiting is the number of requests that waited at the start of a bucket.
	Waiting []float64
	// Goodput is good tokens a second by the end of their request.
	Goodput []float64
}

func (w *world) series() *Series {
	n := int(w.lastEvent.Sub(epoch)/bucket) + 1
	s := &Series{Attainment: make(map[string][]float64), Waiting: make([]float64, n), Goodput: make([]float64, n)}
	sent := make(map[string][]float64)
	for _, j := range w.order {
		if j.event.Outside {
			continue
		}
		class := j.event.Class
		if sent[class] == nil {
			sent[class], s.Attainment[class] = make([]float64, n), make([]float64, n)
		}
		at := min(int(j.arrived.Sub(epoch)/bucket), n-1)
		sent[class][at]++
		if j.attained() {
			s.Attainment[class][at]++
			s.Goodput[min(int(j.ended.Sub(epoch)/bucket), n-1)] += float64(j.tokens) / bucket.Seconds()
		}
		s.countWaiting(j)
	}
	for class, counts := range sent {
		for i, count := range counts {
			if count > 0 {
				s.Attainment[class][i] /= count
			}
		}
	}
	return s
}

// countWaiting counts a request in each bucket at whose start it waited.
func (s *Series) countWaiting(j *job) {
	until := j.granted
	if until.IsZero() {
		until = j.ended
	}
	for i := range s.Waiting {
		start := epoch.Add(time.Duration(i) * bucket)
		if j.arrived.Before(start) && until.After(start) {
			s.Waiting[i]++
		}
	}
}

// Plot draws a result's series into three PNG files of a folder, which is made
// if it is not there.
func (r *Result) Plot(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return merry.Prepend(err, "plot")
	}
	attainment := []any{}
	for i := range r.Classes {
		class := r.Classes[i].Class
		attainment = append(attainment, class, points(r.Series.Attainment[class]))
	}
	drawings := []struct {
		name, unit string
		lines      []any
	}{
		{"attainment", "part of the requests", attainment},
		{"waiting", "requests", []any{"waiting", points(r.Series.Waiting)}},
		{"goodput", "tokens a second", []any{"goodput", points(r.Series.Goodput)}},
	}
	for _, d := range drawings {
		if err := draw(filepath.Join(folder, fmt.Sprintf("%s-%s-%s.png", r.Trace, r.Policy, d.name)), r.Trace+" under "+r.Policy, d.unit, d.lines); err != nil {
			return err
		}
	}
	return nil
}

func points(values []float64) plotter.XYs {
	xys := make(plotter.XYs, len(values))
	for i, v := range values {
		xys[i].X, xys[i].Y = float64(i)*bucket.Seconds(), v
	}
	return xys
}

func draw(path, title, unit string, lines []any) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	if err := plotutil.AddLines(p, lines...); err != nil {
		return merry.Prepend(err, "plot")
	}
	return merry.Prepend(p.Save(16*vg.Centimeter, 9*vg.Centimeter, path), "plot")
}
