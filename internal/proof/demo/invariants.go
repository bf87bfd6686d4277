package demo

import (
	"context"
	"fmt"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// check is one promise of the brief, checked on the samples and on what the
// stand-ins saw.
type check struct {
	name string
	find func(c *Cluster, r *Report) []string
}

var checks = []check{
	{"own-and-whole-answer", findWrongAnswers},
	{"not-run-is-true", findFalseNotRun},
	{"at-most-once", findRepeated},
	{"every-class-served", findStarved},
	{"refusals-have-reasons", findUnexplained},
	{"leaving-endpoint-gets-no-new-work", findLateWork},
	{"planned-stop-cuts-nothing", findCut},
	{"settings-never-go-back", findOlderSettings},
}

// verify runs all checks and books the violations.
func (r *Report) verify(c *Cluster) {
	for _, check := range checks {
		r.Checked = append(r.Checked, check.name)
		for _, found := range check.find(c, r) {
			r.Violations = append(r.Violations, check.name+": "+found)
		}
	}
}

func findWrongAnswers(_ *Cluster, r *Report) []string {
	var found []string
	for _, s := range r.Samples {
		if s.Wrong != "" {
			found = append(found, fmt.Sprintf("request %s of %s: %s", s.ID, s.Source.Class, s.Wrong))
		}
	}
	return found
}

// executions adds up how often each request was begun anywhere.
func (c *Cluster) executions() map[string]int {
	total := make(map[string]int)
	for _, engine := range c.Engines {
		for id, n := range engine.Executions() {
			total[id] += n
		}
	}
	for _, service := range c.Services {
		for id, n := range service.Executions() {
			total[id] += n
		}
	}
	return total
}

func findFalseNotRun(c *Cluster, r *Report) []string {
	executions := c.executions()
	var found []string
	for _, s := range r.Samples {
		if s.Ran == request.RanNo && s.ID != "" && executions[s.ID] > 0 {
			found = append(found, fmt.Sprintf("request %s of %s was said not to have run, and ran", s.ID, s.Source.Class))
		}
	}
	return found
}

func findRepeated(c *Cluster, r *Report) []string {
	executions := c.executions()
	var found []string
	for _, s := range r.Samples {
		policy, _ := c.Tree.Effective(s.Source.Workspace, s.Source.Class)
		if !policy.Repeatable && executions[s.ID] > 1 {
			found = append(found, fmt.Sprintf("request %s of %s ran %d times", s.ID, s.Source.Class, executions[s.ID]))
		}
	}
	return found
}

// enoughSent is how many requests a class must have sent before it counts as
// starved.
const enoughSent = 3

func findStarved(_ *Cluster, r *Report) []string {
	var found []string
	for _, row := range r.Classes {
		if row.Sent >= enoughSent && row.Answered == 0 {
			found = append(found, fmt.Sprintf("%s: none of %d requests was answered", row.Class, row.Sent))
		}
	}
	return found
}

func findUnexplained(_ *Cluster, r *Report) []string {
	var found []string
	for _, s := range r.Samples {
		if s.Status >= 400 && s.Reason == "" {
			found = append(found, fmt.Sprintf("request %s of %s: status %d without a reason", s.ID, s.Source.Class, s.Status))
		}
	}
	return found
}

// outTime is how long an endpoint may still get work after it was taken out of use.
const outTime = 2 * time.Second

func findLateWork(c *Cluster, _ *Report) []string {
	var found []string
	for endpoint, since := range c.outSince {
		if late := c.Engines[endpoint].LastStart().Sub(since); late > outTime {
			found = append(found, fmt.Sprintf("%s began a request %s after it was taken out of use", endpoint, late))
		}
	}
	return found
}

func findCut(c *Cluster, _ *Report) []string {
	if c.cut == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d requests were cut", c.cut)}
}

func findOlderSettings(_ *Cluster, r *Report) []string { return r.older }

// watchRevisions samples the revision in force on each host until ctx ends, and
// returns the cases in which it went down.
func watchRevisions(ctx context.Context, c *Cluster) []string {
	var older []string
	seen := make(map[string]uint64)
	for sleep(ctx, revisionPoll) {
		for _, host := range c.Hosts() {
			now := host.Daemon.Revision()
			if now < seen[host.Name] {
				older = append(older, fmt.Sprintf("%s went from revision %d to %d", host.Name, seen[host.Name], now))
			}
			seen[host.Name] = now
		}
	}
	return older
}

const revisionPoll = 20 * time.Millisecond
