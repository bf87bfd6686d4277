package replay

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// checkOutcomes records each outcome stated by the trace that the result does not reach.
func (sim *simulation) checkOutcomes(r *Result) {
	for i := range sim.trace.Header.Outcomes {
		o := &sim.trace.Header.Outcomes[i]
		name := o.describe()
		weight, attained, answered, sent := 0.0, 0.0, 0, 0
		longest := time.Duration(0)
		for _, j := range sim.jobList {
			if !o.matches(j) {
				continue
			}
			sent++
			requestWeight := tierWeight(j.policy.Tier)
			weight += requestWeight
			if j.metTarget() {
				attained += requestWeight
			}
			if j.state == stateAnswered {
				answered++
			}
			if !j.grantedAt.IsZero() {
				longest = max(longest, j.grantedAt.Sub(j.arrivedAt))
			}
		}
		attainment := attained / math.Max(weight, 1)
		served := float64(answered) / float64(max(sent, 1))
		wait := time.Duration(o.MaxWaitMillis) * time.Millisecond
		r.requireOutcome(sent > 0, "%s: matches no request", name)
		r.requireOutcome(attainment >= o.MinAttainment, "%s: attainment %.4f, stated at least %.4f", name, attainment, o.MinAttainment)
		r.requireOutcome(served >= o.MinServed, "%s: served %.4f, stated at least %.4f", name, served, o.MinServed)
		r.requireOutcome(wait == 0 || longest <= wait, "%s: longest wait %s, stated at most %s", name, longest, wait)
		r.requireOutcome(r.Goodput >= o.MinGoodput, "goodput %.3f of capacity, stated at least %.3f", r.Goodput, o.MinGoodput)
		r.requireOutcome(o.MaxWasted == 0 || r.Wasted <= o.MaxWasted, "wasted %.4f of the tokens, stated at most %.4f", r.Wasted, o.MaxWasted)
	}
}

// matches reports whether an outcome applies to a request.
func (o *Outcome) matches(j *job) bool {
	if j.event.Outside || (o.Class != "" && o.Class != j.event.Class) {
		return false
	}
	if len(o.Workspaces) > 0 && !slices.Contains(o.Workspaces, j.event.Workspace) {
		return false
	}
	second := int(j.arrivedAt.Sub(epoch).Seconds())
	return o.Arrived.ToSecond == 0 || (second >= o.Arrived.FromSecond && second < o.Arrived.ToSecond)
}

// describe returns a description, for messages, of the requests to which an outcome applies.
func (o *Outcome) describe() string {
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

// requireOutcome records a missed outcome unless the condition holds.
func (r *Result) requireOutcome(held bool, format string, args ...any) {
	if !held {
		r.Missed = append(r.Missed, fmt.Sprintf(format, args...))
	}
}
