package demo

import (
	"context"
	"fmt"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// check is an invariant that is checked on the samples and on the records of the stand-ins.
type check struct {
	name string
	find func(c *Cluster, r *Report) []string
}

var checks = []check{
	{"own-and-whole-answer", findWrongAnswers},
	{"not-run-is-true", findFalseNotRun},
	{"at-most-once", findRepeatedRuns},
	{"every-class-served", findUnservedClasses},
	{"refusals-have-reasons", findRefusalsWithoutReason},
	{"leaving-endpoint-gets-no-new-work", findWorkAfterRemoval},
	{"planned-stop-cuts-nothing", findAbortedRequests},
	{"settings-never-go-back", findSettingsRollbacks},
}

// runChecks runs all checks and records the violations.
func (r *Report) runChecks(c *Cluster) {
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

// executions returns the number of times that each request was started at any endpoint.
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

func findRepeatedRuns(c *Cluster, r *Report) []string {
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

// minSentToCheck is the minimum number of requests that a class must have sent for the check that it was
// served.
const minSentToCheck = 3

func findUnservedClasses(_ *Cluster, r *Report) []string {
	var found []string
	for _, row := range r.Classes {
		if row.Sent >= minSentToCheck && row.Answered == 0 {
			found = append(found, fmt.Sprintf("%s: none of %d requests was answered", row.Class, row.Sent))
		}
	}
	return found
}

func findRefusalsWithoutReason(_ *Cluster, r *Report) []string {
	var found []string
	for _, s := range r.Samples {
		if s.Status >= 400 && s.Reason == "" {
			found = append(found, fmt.Sprintf("request %s of %s: status %d without a reason", s.ID, s.Source.Class, s.Status))
		}
	}
	return found
}

// maxRemovalDelay is the time for which an endpoint may still receive requests after it was taken out of use.
const maxRemovalDelay = 2 * time.Second

func findWorkAfterRemoval(c *Cluster, _ *Report) []string {
	var found []string
	for endpoint, since := range c.outSince {
		if late := c.Engines[endpoint].LastStart().Sub(since); late > maxRemovalDelay {
			found = append(found, fmt.Sprintf("%s began a request %s after it was taken out of use", endpoint, late))
		}
	}
	return found
}

func findAbortedRequests(c *Cluster, _ *Report) []string {
	if c.abortedRequests == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d requests were aborted by graceful stops", c.abortedRequests)}
}

func findSettingsRollbacks(_ *Cluster, r *Report) []string { return r.settingsRollbacks }

// watchRevisions polls the settings revision in force on each host until ctx ends, and returns the cases in which
// it decreased.
func watchRevisions(ctx context.Context, c *Cluster) []string {
	var rollbacks []string
	seen := make(map[string]uint64)
	for sleep(ctx, revisionPollInterval) {
		for _, host := range c.Hosts() {
			now := host.Daemon.Revision()
			if now < seen[host.Name] {
				rollbacks = append(rollbacks, fmt.Sprintf("%s went from revision %d to %d", host.Name, seen[host.Name], now))
			}
			seen[host.Name] = now
		}
	}
	return rollbacks
}

const revisionPollInterval = 20 * time.Millisecond
