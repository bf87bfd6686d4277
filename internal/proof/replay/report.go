package replay

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/schedule"
)

// ClassResult is the outcome of a replay for one request class.
type ClassResult struct {
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	Attained int    `json:"attained"`
	Refused  int    `json:"refused"`
	Gone     int    `json:"caller_gone"`
	Failed   int    `json:"failed"`
	// LateFirst and LateBetween count complete answers that missed the target for the first token
	// and for the time between tokens.
	LateFirst   int `json:"late_first"`
	LateBetween int `json:"late_between"`
	// Reasons counts refusals by reason.
	Reasons map[admission.Reason]int `json:"reasons"`
	// GoodTokens counts the tokens of answers that met the target.
	GoodTokens  int           `json:"good_tokens"`
	Wasted      int           `json:"wasted_tokens"`
	WastedRead  int           `json:"wasted_prompt_tokens"`
	LongestWait time.Duration `json:"longest_wait"`
	FirstToken  time.Duration `json:"first_token_p95"`
}

// Attainment returns the fraction of the sent requests that met their target.
func (r *ClassResult) Attainment() float64 {
	return float64(r.Attained) / float64(max(r.Sent, 1))
}

// Result is the outcome of one replay.
type Result struct {
	Trace   string        `json:"trace"`
	Policy  string        `json:"policy"`
	Classes []ClassResult `json:"classes"`
	// Attainment is the fraction of all requests that met their target, weighted by tier.
	Attainment float64 `json:"attainment"`
	// Goodput is the rate of tokens in answers that met their target, in the measured window, as a
	// fraction of Capacity.
	Goodput float64 `json:"goodput"`
	// Busy is the rate of all generated tokens in the same window, as a fraction of Capacity.
	Busy       float64     `json:"busy"`
	Capacity   float64     `json:"capacity_tokens_per_second"`
	Generated  int         `json:"generated_tokens"`
	Wasted     float64     `json:"wasted"`
	Violations []Violation `json:"violations"`
	Missed     []string    `json:"missed"`
	Steps      uint64      `json:"steps"`
}

// OK reports whether all invariants held and all stated outcomes were reached.
func (r *Result) OK() bool { return len(r.Violations) == 0 && len(r.Missed) == 0 }

// Run replays a trace under a policy. Final invariants are not checked for the baselines, and stated
// outcomes only for the daemons' own policy.
func Run(trace *Trace, policy string) (*Result, error) {
	s, err := newSimulation(trace, policy)
	if err != nil {
		return nil, err
	}
	s.run()
	if !isBaseline(policy) {
		s.checkFinalState()
	}
	r := s.result()
	if policy == Current {
		s.checkOutcomes(r)
	}
	return r, nil
}

func isBaseline(policy string) bool {
	return policy == LeastConnections || policy == TwoChoices || policy == LeastReported
}

// result summarizes the finished run.
func (sim *simulation) result() *Result {
	r := &Result{Trace: sim.trace.Header.Name, Policy: sim.policyName, Violations: sim.violations}
	wasted := sim.addClasses(r)
	for _, e := range sim.engineList {
		r.Generated += e.model.AnswerTokensGenerated
	}
	r.Wasted = float64(wasted) / math.Max(float64(r.Generated), 1)
	r.Capacity = sim.capacity()
	r.Goodput = sim.goodput() / r.Capacity
	r.Busy = sim.generatedRate / r.Capacity
	for _, s := range sim.shardList() {
		if scheduler, ok := s.policy.(*schedule.Scheduler); ok {
			r.Steps += scheduler.Steps
		}
	}
	return r
}

// addClasses fills in the result of each class and the weighted attainment over all classes. It returns
// the number of wasted tokens.
func (sim *simulation) addClasses(r *Result) (wasted int) {
	index := make(map[string]int)
	firstTokens := make(map[string][]time.Duration)
	weight, attained := 0.0, 0.0
	for _, j := range sim.jobList {
		if j.event.Outside {
			continue
		}
		class := j.event.Class
		i, ok := index[class]
		if !ok {
			i = len(r.Classes)
			index[class] = i
			r.Classes = append(r.Classes, ClassResult{Class: class, Tier: j.policy.Tier, Reasons: make(map[admission.Reason]int)})
		}
		r.Classes[i].add(j)
		if !j.firstTokenAt.IsZero() {
			firstTokens[class] = append(firstTokens[class], j.firstTokenAt.Sub(j.arrivedAt))
		}
		requestWeight := tierWeight(j.policy.Tier)
		weight += requestWeight
		if j.metTarget() {
			attained += requestWeight
		}
		wasted += j.wastedTokens
	}
	for i := range r.Classes {
		r.Classes[i].FirstToken = quantile(firstTokens[r.Classes[i].Class], 0.95)
	}
	slices.SortStableFunc(r.Classes, func(a, b ClassResult) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})
	r.Attainment = attained / math.Max(weight, 1)
	return wasted
}

// tierWeight returns the weight of a request in the attainment over all classes. Each tier weighs twice as
// much as the next lower one.
func tierWeight(tier int) float64 { return float64(int(1) << (schedule.Tiers - 1 - tier)) }

// add counts a request by its final state.
func (r *ClassResult) add(j *job) {
	r.Sent++
	switch j.state {
	case stateAnswered:
		r.Answered++
		if j.missedFirstToken() {
			r.LateFirst++
		}
		if j.missedBetweenTokens() {
			r.LateBetween++
		}
	case stateRefused:
		r.Refused++
		r.Reasons[j.reason]++
	case stateCallerGone:
		r.Gone++
	case stateFailed:
		r.Failed++
	}
	if j.metTarget() {
		r.Attained++
		r.GoodTokens += j.tokens
	}
	r.Wasted += j.wastedTokens
	r.WastedRead += j.wastedPromptTokens
	if !j.grantedAt.IsZero() {
		r.LongestWait = max(r.LongestWait, j.grantedAt.Sub(j.arrivedAt))
	}
}

// metTarget reports whether a request got a complete answer that met its targets.
func (j *job) metTarget() bool {
	if j.state != stateAnswered {
		return false
	}
	whole := j.endedAt.Sub(j.arrivedAt)
	if j.policy.WholeAnswer > 0 && whole > j.policy.WholeAnswer {
		return false
	}
	return !j.missedFirstToken() && !j.missedBetweenTokens()
}

func (j *job) missedFirstToken() bool {
	return j.policy.FirstToken > 0 && j.firstTokenAt.Sub(j.arrivedAt) > j.policy.FirstToken
}

func (j *job) missedBetweenTokens() bool {
	if j.policy.BetweenTokens == 0 || j.tokens < 2 {
		return false
	}
	return j.endedAt.Sub(j.firstTokenAt)/time.Duration(j.tokens-1) > j.policy.BetweenTokens
}

// measuredWindow returns the part of the run in which goodput is measured.
func (sim *simulation) measuredWindow() (from, to time.Time) {
	m := sim.trace.Header.Measure
	if m.ToSecond == 0 {
		return epoch, sim.lastEventAt
	}
	return epoch.Add(time.Duration(m.FromSecond) * time.Second), epoch.Add(time.Duration(m.ToSecond) * time.Second)
}

// goodput returns the rate, in tokens per second within the measured window, of requests that met their
// target. The tokens of a request count as spread evenly between its first and its last.
func (sim *simulation) goodput() float64 {
	from, to := sim.measuredWindow()
	tokens := 0.0
	for _, j := range sim.jobList {
		if j.event.Outside || !j.metTarget() {
			continue
		}
		length := max(j.endedAt.Sub(j.firstTokenAt), time.Millisecond)
		inside := min(j.endedAt.Sub(from), to.Sub(j.firstTokenAt), length, to.Sub(from))
		tokens += float64(j.tokens) * max(0, inside.Seconds()/length.Seconds())
	}
	return tokens / math.Max(to.Sub(from).Seconds(), 1)
}

// capacity returns the number of tokens per second that the engines can generate with the trace's mean prompt and
// answer at a target of 48 ms between tokens, the strictest target of the traces. The batch size b of an engine is the
// solution of step + b*perRequest + b*(prompt/answer)*perPromptToken = target, but at most MaxRunning.
func (sim *simulation) capacity() float64 {
	prompt, answer := 0.0, 0.0
	target := 0.048
	for i := range sim.trace.Events {
		event := &sim.trace.Events[i]
		if event.Fault != "" {
			continue
		}
		prompt += float64(event.Prompt - event.DocumentTokens)
		answer += float64(event.Answer)
	}
	m := &sim.trace.Header.Engines
	const micro = 1e-6
	perRequest := micro * (float64(m.PerRequestMicros) + prompt/math.Max(answer, 1)*float64(m.PerPromptTokenMicros))
	batch := math.Min((target-micro*float64(m.StepMicros))/perRequest, float64(m.MaxRunning))
	return batch / target * float64(len(sim.engineList))
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// Print writes the per-class results of one trace under several policies, then the summary.
func Print(w io.Writer, results []*Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tclass\ttier\tsent\tanswered\tattained\tlate first\tlate between\trefused\tgone\tfailed\tfirst token p95\tlongest wait\twasted")
	for _, r := range results {
		for i := range r.Classes {
			c := &r.Classes[i]
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n", r.Policy, c.Class, c.Tier, c.Sent, c.Answered,
				100*c.Attainment(), c.LateFirst, c.LateBetween, c.Refused, c.Gone, c.Failed, c.FirstToken.Round(time.Millisecond), c.LongestWait.Round(time.Millisecond), c.Wasted)
		}
	}
	// The writer is a terminal or a buffer, so a write error can't be reported anywhere.
	_ = table.Flush()
	PrintSummary(w, results)
}

// PrintSummary writes one line per result, then the missed outcomes and the first violation of each.
func PrintSummary(w io.Writer, results []*Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "trace\tpolicy\tattainment by tier weight\tgoodput of capacity\tgenerated of capacity\twasted\tviolations\tmissed")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.2f%%\t%.1f%%\t%.1f%%\t%.2f%%\t%d\t%d\n", r.Trace, r.Policy, 100*r.Attainment, 100*r.Goodput, 100*r.Busy, 100*r.Wasted,
			len(r.Violations), len(r.Missed))
	}
	// See Print.
	_ = table.Flush()
	for _, r := range results {
		for _, missed := range r.Missed {
			fmt.Fprintf(w, "missed: %s under %s: %s\n", r.Trace, r.Policy, missed)
		}
		if len(r.Violations) > 0 {
			v := r.Violations[0]
			fmt.Fprintf(w, "violated: %s under %s: %s at %s: %s\n", r.Trace, r.Policy, v.Invariant, v.At, v.Detail)
		}
	}
}
