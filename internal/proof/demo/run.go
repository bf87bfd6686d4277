package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// Plan is what a demonstration does.
type Plan struct {
	Seconds int
	Seed    uint64
	Faults  []Fault
	Sources []Source
	// Progress gets a line a second.
	Progress io.Writer
}

// Run sends the plan's load to a cluster, injects its faults a third of the way
// in, and reports.
func Run(ctx context.Context, c *Cluster, plan Plan) (*Report, error) {
	if len(plan.Sources) == 0 {
		plan.Sources = DefaultSources
	}
	length := time.Duration(plan.Seconds) * time.Second
	begun := time.Now()
	loadCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	l := newLoad(c)
	injected := make(chan []string, 1)
	go func() { injected <- inject(loadCtx, c, plan.Faults, length) }()
	shown := make(chan struct{})
	go l.progress(loadCtx, plan.Progress, shown)
	watched := make(chan []string, 1)
	go func() { watched <- watchRevisions(loadCtx, c) }()
	samples := l.run(loadCtx, plan.Seed, plan.Sources)
	<-shown
	notes := <-injected
	r := newReport(c, samples, time.Since(begun))
	r.Seed = plan.Seed
	r.Notes = notes
	r.older = <-watched
	for _, fault := range plan.Faults {
		r.Faults = append(r.Faults, string(fault))
	}
	r.count(c)
	r.verify(c)
	return r, nil
}

// progress writes a line a second until ctx ends.
func (l *load) progress(ctx context.Context, w io.Writer, shown chan struct{}) {
	defer close(shown)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for second := 1; ; second++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.mu.Lock()
		done := len(l.samples)
		l.mu.Unlock()
		fmt.Fprintf(w, "%3d s: %d requests ended\n", second, done)
	}
}

// count adds up the daemons' counters.
func (r *Report) count(c *Cluster) {
	r.Wasted = make(map[string]int)
	r.Retries = make(map[string]int)
	for _, engine := range c.Engines {
		r.Generated += engine.Generated()
	}
	for _, host := range c.Hosts() {
		metrics := host.Daemon.Counters()
		for _, cause := range counters.WasteCauses {
			r.Wasted[string(cause)] += int(metrics.WastedTokens(cause))
		}
		for _, reason := range request.RetryReasons {
			r.Retries[string(reason)] += int(metrics.Retries(reason))
		}
	}
}
