package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// ClassReport is the row of one request class in the table.
type ClassReport struct {
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Target   string `json:"target"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	Broken   int    `json:"broken"`
	// Refused counts refusals by reason.
	Refused map[request.Reason]int `json:"refused"`
	// Attainment is the fraction of the sent requests that met the target.
	Attainment float64 `json:"attainment"`
	// Goodput is the rate of tokens in answers that met the target.
	Goodput      float64 `json:"goodput_tokens_per_second"`
	WastedTokens int     `json:"wasted_tokens"`
}

// Report is the result of a run.
type Report struct {
	Seed              uint64         `json:"seed"`
	Seconds           float64        `json:"seconds"`
	Faults            []string       `json:"faults"`
	Classes           []ClassReport  `json:"classes"`
	Checked           []string       `json:"invariants_checked"`
	Violations        []string       `json:"violations"`
	Generated         int            `json:"generated_tokens"`
	Wasted            map[string]int `json:"wasted_tokens_by_cause"`
	Retries           map[string]int `json:"retries_by_reason"`
	Notes             []string       `json:"notes,omitzero"`
	Samples           []Sample       `json:"-"`
	Length            time.Duration  `json:"-"`
	settingsRollbacks []string
	index             map[string]int
}

// classRow returns the row of a class and adds it if needed.
func (r *Report) classRow(name string) *ClassReport {
	i, ok := r.index[name]
	if !ok {
		i = len(r.Classes)
		r.index[name] = i
		r.Classes = append(r.Classes, ClassReport{Class: name, Refused: make(map[request.Reason]int)})
	}
	return &r.Classes[i]
}

// newReport makes a report of the samples, with a row for each class.
func newReport(c *Cluster, samples []Sample, length time.Duration) *Report {
	r := &Report{Samples: samples, Length: length, Seconds: length.Seconds(), index: make(map[string]int)}
	for _, source := range DefaultSources {
		row := r.classRow(source.Class)
		policy, _ := c.Tree.Effective(source.Workspace, source.Class)
		row.Tier, row.Target = policy.Tier, formatTargets(&policy)
		attained, good := 0, 0
		for i := range samples {
			s := &samples[i]
			if s.Source.Class != source.Class {
				continue
			}
			row.Sent++
			switch {
			case s.Answered:
				row.Answered++
			case s.Broken:
				row.Broken++
				row.WastedTokens += s.Tokens
			case s.Reason != "":
				row.Refused[s.Reason]++
			}
			if s.metTargets(&policy) {
				attained++
				good += s.Tokens
			}
		}
		if row.Sent > 0 {
			row.Attainment = float64(attained) / float64(row.Sent)
		}
		row.Goodput = float64(good) / length.Seconds()
	}
	slices.SortStableFunc(r.Classes, func(a, b ClassReport) int { return a.Tier - b.Tier })
	return r
}

// Print writes the table, the totals, the notes on injected faults and the violated invariants.
func (r *Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\ttier\ttarget\tsent\tanswered\tbroken\trefused\tattained\tgoodput tok/s\twasted tok")
	for _, row := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%d\t%d\t%s\t%.1f%%\t%.1f\t%d\n", row.Class, row.Tier, row.Target, row.Sent,
			row.Answered, row.Broken, formatReasons(row.Refused), 100*row.Attainment, row.Goodput, row.WastedTokens)
	}
	// The writer is a terminal or a buffer, so a write error can't be reported anywhere.
	_ = table.Flush()
	fmt.Fprintf(w, "\ntokens generated %d, wasted by cause %s, retries %s\n", r.Generated, formatCounts(r.Wasted), formatCounts(r.Retries))
	for _, note := range r.Notes {
		fmt.Fprintln(w, note)
	}
	fmt.Fprintf(w, "invariants checked: %s\nviolations: %d\n", strings.Join(r.Checked, ", "), len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "  "+violation)
	}
}

func formatReasons(refused map[request.Reason]int) string {
	if len(refused) == 0 {
		return "0"
	}
	var list []string
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		list = append(list, fmt.Sprintf("%d %s", refused[reason], reason))
	}
	return strings.Join(list, ", ")
}

func formatCounts(m map[string]int) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if m[name] > 0 {
			list = append(list, fmt.Sprintf("%s %d", name, m[name]))
		}
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
