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

// ClassResult is what one class got.
type ClassResult struct {
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	Attained int    `json:"attained"`
	Refused  int    `json:"refused"`
	Gone     int    `json:"caller_gone"`
	Failed   int    `json:"failed"`
	// LateFirst and LateBetween count whole answers whose first token, or whose
	// time between tokens, missed the target.
	LateFirst   int `json:"late_first"`
	LateBetween int `json:"late_between"`
	// Reasons counts refusals.
	Reasons map[admission.Reason]int `json:"reasons"`
	// GoodTokens are those of answers that met the target.
	GoodTokens  int           `json:"good_tokens"`
	Wasted      int           `json:"wasted_tokens"`
	WastedRead  int           `json:"wasted_prompt_tokens"`
	LongestWait time.Duration `json:"longest_wait"`
	FirstToken  time.Duration `json:"first_token_p95"`
}

// Attainment is the part of the requests sent that met their target.
func (r *ClassResult) Attainment() float64 {
	return float64(r.Attained) / float64(max(r.Sent, 1))
}

// Result is the outcome of one replay.
type Result struct {
	Trace   string        `json:"trace"`
	Policy  string        `json:"policy"`
	Classes []ClassResult `json:"classes"`
	// Attainment is over all classes, each request weighted by its tier.
	Attainment float64 `json:"attainment"`
	// Goodput is good tokens a second between the first and the last arrival,
	// as a part of Capacity.
	Goodput float64 `json:"goodput"`
	// Busy is all tokens generated in the same time, as a part of Capacity.
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

// Run replays a trace under a policy. Outcomes are checked for the daemons' own
// policy only.
func Run(trace *Trace, policy string) (*Result, error) {
	s, err := newSimulation(trace, policy)
	if err != nil {
		return nil, err
	}
	s.run()
	if !isBaseline(policy) {
		s.checkEnd()
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

// result adds up what became of the requests.
func (sim *simulation) result() *Result {
	r := &Result{Trace: sim.trace.Header.Name, Policy: sim.policyName, Violations: sim.violations}
	wasted := sim.addClasses(r)
	for _, e := range sim.engineList {
		r.Generated += e.model.AnswerTokensGenerated
	}
	r.Wasted = float64(wasted) / math.Max(float64(r.Generated), 1)
	r.Capacity = sim.capacity()
	r.Goodput = sim.goodput() / r.Capacity
	r.Busy = sim.generated / r.Capacity
	for _, s := range sim.shardList() {
		if scheduler, ok := s.policy.(*schedule.Scheduler); ok {
			r.Steps += scheduler.Steps
		}
	}
	return r
}

// addClasses fills in the classes and the attainment over all of them, and returns the wasted
// tokens.
func (sim *simulation) addClasses(r *Result) (wasted int) {
	index := make(map[string]int)
	firstTokens := make(map[string][]time.Duration)
	weight, attained := 0.0, 0.0
	for _, j := range sim.order {
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
		if !j.firstToken.IsZero() {
			firstTokens[class] = append(firstTokens[class], j.firstToken.Sub(j.arrived))
		}
		share := tierWeight(j.policy.Tier)
		weight += share
		if j.attained() {
			attained += share
		}
		wasted += j.wasted
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

// tierWeight makes a request of each tier count twice one of the next.
func tierWeight(tier int) float64 { return float64(int(1) << (schedule.Tiers - 1 - tier)) }

func (r *ClassResult) add(j *job) {
	r.Sent++
	switch j.state {
	case stateAnswered:
		r.Answered++
		if j.lateFirst() {
			r.LateFirst++
		}
		if j.lateBetween() {
			r.LateBetween++
		}
	case stateRefused:
		r.Refused++
		r.Reasons[j.reason]++
	case stateGone:
		r.Gone++
	case stateFailed:
		r.Failed++
	}
	if j.attained() {
		r.Attained++
		r.GoodTokens += j.tokens
	}
	r.Wasted += j.wasted
	r.WastedRead += j.wastedPrefill
	if !j.granted.IsZero() {
		r.LongestWait = max(r.LongestWait, j.granted.Sub(j.arrived))
	}
}

// attained reports whether a request got a whole answer that met its target.
func (j *job) attained() bool {
	if j.state != stateAnswered {
		return false
	}
	whole := j.ended.Sub(j.arrived)
	if j.policy.WholeAnswer > 0 && whole > j.policy.WholeAnswer {
		return false
	}
	return !j.lateFirst() && !j.lateBetween()
}

func (j *job) lateFirst() bool {
	return j.policy.FirstToken > 0 && j.firstToken.Sub(j.arrived) > j.policy.FirstToken
}

func (j *job) lateBetween() bool {
	if j.policy.BetweenTokens == 0 || j.tokens < 2 {
		return false
	}
	return j.ended.Sub(j.firstToken)/time.Duration(j.tokens-1) > j.policy.BetweenTokens
}

// window is the part of the run that goodput is measured in.
func (sim *simulation) window() (from, to time.Time) {
	m := sim.trace.Header.Measure
	if m.ToSecond == 0 {
		return epoch, sim.lastEvent
	}
	return epoch.Add(time.Duration(m.FromSecond) * time.Second), epoch.Add(time.Duration(m.ToSecond) * time.Second)
}

// goodput is the tokens a second, in the window, of requests that met their
// target. A request's tokens are spread evenly from its first to its last.
func (sim *simulation) goodput() float64 {
	from, to := sim.window()
	tokens := 0.0
	for _, j := range sim.order {
		if j.event.Outside || !j.attained() {
			continue
		}
		length := max(j.ended.Sub(j.firstToken), time.Millisecond)
		inside := min(j.ended.Sub(from), to.Sub(j.firstToken), length, to.Sub(from))
		tokens += float64(j.tokens) * max(0, inside.Seconds()/length.Seconds())
	}
	return tokens / math.Max(to.Sub(from).Seconds(), 1)
}

// capacity is what the engine model generates in tokens a second with the trace's
// mean prompt and answer at the strictest target between tokens: the batch b
// for which step + b*perRequest + b*(prompt/answer)*perPromptToken = target.
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

// Print writes the results of one trace under several policies.
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
	// The writer is a terminal or a buffer; an error here has no one to go to.
	_ = table.Flush()
	PrintSummary(w, results)
}

// PrintSummary writes one line for each result.
func PrintSummary(w io.Writer, results []*Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "trace\tpolicy\tattainment by tier weight\tgoodput of capacity\tgenerated of capacity\twasted\tviolations\tmissed")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.2f%%\t%.1f%%\t%.1f%%\t%.2f%%\t%d\t%d\n", r.Trace, r.Policy, 100*r.Attainment, 100*r.Goodput, 100*r.Busy, 100*r.Wasted,
			len(r.Violations), len(r.Missed))
	}
	// As above.
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
