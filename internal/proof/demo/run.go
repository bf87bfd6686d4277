package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// Plan describes a run: its length, load and faults.
type Plan struct {
	Seconds int
	Seed    uint64
	Faults  []Fault
	Sources []Source
	// Progress receives a line per second.
	Progress io.Writer
}

// Run sends the plan's load to a cluster, injects its faults after a third of the time, and reports the result.
func Run(ctx context.Context, c *Cluster, plan Plan) (*Report, error) {
	if len(plan.Sources) == 0 {
		plan.Sources = DefaultSources
	}
	length := time.Duration(plan.Seconds) * time.Second
	startedAt := time.Now()
	loadCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	l := newLoad(c)
	injected := make(chan []string, 1)
	go func() { injected <- injectFaults(loadCtx, c, plan.Faults, length) }()
	shown := make(chan struct{})
	go l.printProgress(loadCtx, plan.Progress, shown)
	watched := make(chan []string, 1)
	go func() { watched <- watchRevisions(loadCtx, c) }()
	samples := l.run(loadCtx, plan.Seed, plan.Sources)
	<-shown
	notes := <-injected
	r := newReport(c, samples, time.Since(startedAt))
	r.Seed = plan.Seed
	r.Notes = notes
	r.settingsRollbacks = <-watched
	for _, fault := range plan.Faults {
		r.Faults = append(r.Faults, string(fault))
	}
	r.addCounters(c)
	r.runChecks(c)
	return r, nil
}

// printProgress writes a line per second until ctx ends, then closes shown.
func (l *load) printProgress(ctx context.Context, w io.Writer, shown chan struct{}) {
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

// addCounters adds up the counters of all engines and daemons.
func (r *Report) addCounters(c *Cluster) {
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
