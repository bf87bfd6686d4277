package replay

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// checkOutcomes compares a result with what its trace states.
func (sim *simulation) checkOutcomes(r *Result) {
	for i := range sim.trace.Header.Outcomes {
		o := &sim.trace.Header.Outcomes[i]
		name := o.name()
		weight, attained, answered, sent := 0.0, 0.0, 0, 0
		longest := time.Duration(0)
		for _, j := range sim.order {
			if !o.picks(j) {
				continue
			}
			sent++
			share := tierWeight(j.policy.Tier)
			weight += share
			if j.attained() {
				attained += share
			}
			if j.state == stateAnswered {
				answered++
			}
			if !j.granted.IsZero() {
				longest = max(longest, j.granted.Sub(j.arrived))
			}
		}
		attainment := attained / math.Max(weight, 1)
		served := float64(answered) / float64(max(sent, 1))
		wait := time.Duration(o.MaxWaitMillis) * time.Millisecond
		r.require(sent > 0, "%s: picks no request", name)
		r.require(attainment >= o.MinAttainment, "%s: attainment %.4f, stated at least %.4f", name, attainment, o.MinAttainment)
		r.require(served >= o.MinServed, "%s: served %.4f, stated at least %.4f", name, served, o.MinServed)
		r.require(wait == 0 || longest <= wait, "%s: longest wait %s, stated at most %s", name, longest, wait)
		r.require(r.Goodput >= o.MinGoodput, "goodput %.3f of capacity, stated at least %.3f", r.Goodput, o.MinGoodput)
		r.require(o.MaxWasted == 0 || r.Wasted <= o.MaxWasted, "wasted %.4f of the tokens, stated at most %.4f", r.Wasted, o.MaxWasted)
	}
}

// picks reports whether an outcome is about a request.
func (o *Outcome) picks(j *job) bool {
	if j.event.Outside || (o.Class != "" && o.Class != j.event.Class) {
		return false
	}
	if len(o.Workspaces) > 0 && !slices.Contains(o.Workspaces, j.event.Workspace) {
		return false
	}
	second := int(j.arrived.Sub(epoch).Seconds())
	return o.Arrived.ToSecond == 0 || (second >= o.Arrived.FromSecond && second < o.Arrived.ToSecond)
}

// name describes in messages which requests an outcome is about.
func (o *Outcome) name() string {
	name := "all classes"
	if o.Class != "" {
		name = o.Class
	}
	if len(o.Workspaces) > 0 {
		name += " of " + strings.Join(o.Workspaces, ", ")
	}
	if o.Arrived.ToSecond > 0 {
		name += fmt.Sprintf(" from %d to %d s", o.Arrived.FromSecond, o.Arrived.ToSecond)
	}
	return name
}

func (r *Result) require(held bool, format string, args ...any) {
	if !held {
		r.Missed = append(r.Missed, fmt.Sprintf(format, args...))
	}
}
