package lease

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
)

// The model consists of hosts, each with a clock of its own rate, a store, and a provider that receives the holders'
// calls. The store's answers are delayed or lost, its writes are lost or applied late, another writer overwrites the
// row, and the store is restored from older backups with a different clock. A host is suspended when no event of its
// own is chosen while time passes. The tests play every order of events up to a depth, and random orders that are far
// longer. The rules are checked on the calls that the provider receives.

var (
	modelDepth  = flag.Int("model.depth", 4, "number of events in the exhaustive search")
	modelOrders = flag.Int("model.walks", 3000, "number of random orders of events")
	modelSeed   = flag.Uint64("model.seed", 1, "seed of the random orders of events")
)

const (
	leaseTime   = 3 * time.Second
	randomDepth = 40
	// maxMutantOrders is the largest number of random orders that are played to find a mutant.
	maxMutantOrders = 30000
)

// mutant is a fault in the rules that the model must find.
type mutant string

// The mutants.
const (
	noMutant                 mutant = ""
	renewalCountsFromAnswer  mutant = "a renewal counts from the arrival of its answer"
	successorDoesNotWait     mutant = "a successor does not wait for the lease to end"
	tokenFromMemory          mutant = "the token is counted in the host's memory"
	noCheckBeforeCall        mutant = "a holder does not check its lease before a call"
	formerHoldersDropped     mutant = "former holders are left out of the record"
	writesBeforeReleaseCount mutant = "writes sent before a release still count"
	clockStopsInSuspension   mutant = "a host's clock stops while it is suspended"
	erasIgnored              mutant = "versions of different eras are compared"
	rowsOfEarlierErasCount   mutant = "a row of an earlier era is valid"
	noWaitAfterLostRow       mutant = "hosts do not wait for a lease whose row was lost"
	tokenWithoutEra          mutant = "tokens do not contain the era"
)

// arrival is a call that reaches the provider.
type arrival struct {
	at    time.Duration
	host  string
	token uint64
}

// lateWrite is a write of one process of a host that the store may still apply.
type lateWrite struct {
	host  int
	start int64
	sent  time.Time
	write Write
}

// storeState is the content of the store. The version of its row is a number without the era.
type storeState struct {
	revision uint64
	row      Row
}

// maxBackups is the number of earlier states that the store may be restored from.
const maxBackups = 3

// modelHost is one host of the model.
type modelHost struct {
	lease *Lease
	name  string
	start int64
	// rate is the rate of its clock.
	rate float64
	// suspended is the total time that the host was suspended, for the mutant whose clock doesn't count it.
	suspended time.Duration
	// hasRead is set once the host has read the row. rememberedToken is the token that a mutant keeps in memory.
	hasRead         bool
	rememberedToken uint64
}

// model is the state of the whole model.
type model struct {
	mutant mutant
	now    time.Duration
	storeState
	// backups are the earlier states, newest last. clockShift is the difference of the store's clock to the model's
	// time.
	backups    []storeState
	era        uint64
	clockShift time.Duration
	hosts      []*modelHost
	late       []lateWrite
	arrivals   []arrival
	trace      []string
}

func newModel(m mutant, hosts int) *model {
	all := &model{mutant: m, storeState: storeState{revision: 7}}
	rates := []float64{1, 1.0005, 0.9995}
	for i := range hosts {
		h := &modelHost{name: string(rune('A' + i)), rate: rates[i]}
		all.hosts = append(all.hosts, h)
		all.restart(h)
	}
	return all
}

// restart starts a host's process anew.
func (w *model) restart(h *modelHost) {
	h.start++
	h.lease, h.hasRead = New(h.name, h.start, leaseTime), false
}

// localTime returns the reading of a host's clock.
func (w *model) localTime(h *modelHost) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now-h.suspended) * h.rate))
}

// answer returns the store's answer, made at a time, to a call that was sent at a local time and whose answer arrives
// now.
func (w *model) answer(h *modelHost, sent time.Time, at time.Duration, t storeState) Answer {
	answer := Answer{Sent: sent, Received: w.localTime(h), At: freshness.StoreTime(at+w.clockShift) + 1e9, Revision: w.revisionOf(t.revision), Row: t.row}
	if t.row.Version > 0 {
		answer.Row.Version = w.revisionOf(t.row.Version)
	}
	if w.mutant == rowsOfEarlierErasCount && t.row.Record != nil {
		record := *t.row.Record
		record.Era = w.era
		answer.Row.Record = &record
	}
	return answer
}

// revisionOf returns the revision of a number in the current era.
func (w *model) revisionOf(number uint64) uint64 {
	if w.mutant == erasIgnored {
		return number
	}
	revision, err := era.Revision(w.era, number)
	if err != nil {
		panic(err) // The model's numbers are small.
	}
	return revision
}

// writeRow writes the row in the store.
func (w *model) writeRow(record *Record) {
	w.backups = append(slices.Clone(w.backups[max(len(w.backups)-maxBackups+1, 0):]), w.storeState)
	w.revision++
	w.row = Row{Version: w.revision, Record: record}
}

// restore restores the store from a backup, with a clock that was set back.
func (w *model) restore(i int) {
	w.storeState, w.backups = w.backups[i], slices.Clone(w.backups[:i])
	w.era++
	w.clockShift -= 2 * leaseTime
}

// applyWrite applies a write in the store, and reports whether the write's condition held.
func (w *model) applyWrite(write *Write) bool {
	if w.row.Version != era.Number(write.Expected) {
		return false
	}
	record := write.Record
	w.writeRow(&record)
	return true
}

// callOutcome is the outcome of a call.
type callOutcome int

// The outcomes.
const (
	outcomeAnswered callOutcome = iota
	// outcomeSlow delays the answer by a third of a lease.
	outcomeSlow
	// outcomeUnanswered applies the write and loses the answer. outcomeLost loses the write. outcomeAppliedLate
	// applies it some time later.
	outcomeUnanswered
	outcomeLost
	outcomeAppliedLate
	numOutcomes
)

// outcomeWeights are the relative frequencies of the outcomes.
var outcomeWeights = [numOutcomes]int{outcomeAnswered: 18, outcomeSlow: 4, outcomeUnanswered: 4, outcomeLost: 4, outcomeAppliedLate: 4}

// event is an event that is possible in the current state. In random orders its probability is proportional to its
// weight. The steps of a normal sequence have high weights, so that random orders get through many leases.
type event struct {
	name   string
	weight int
	play   func()
}

// events returns all possible events in the current state.
func (w *model) events() []event {
	events := []event{
		{"time: a third of a lease", 6, func() { w.now += leaseTime / 3 }},
		{"time: a lease", 1, func() { w.now += leaseTime + 2*Margin }},
		{"another writer overwrites the row", 1, func() { w.writeRow(nil) }},
	}
	for i := range w.backups {
		events = append(events, event{fmt.Sprintf("the store is restored from backup %d", i), 1, func() { w.restore(i) }})
	}
	for i := range w.late {
		name := "a late write of " + w.hosts[w.late[i].host].name
		events = append(events, event{name, 3, func() { w.applyLate(i) }}, event{name + ", answered", 2, func() { w.applyLateAndAnswer(i) }})
	}
	for i := range w.hosts {
		events = append(events, w.eventsOf(i)...)
	}
	return events
}

// applyLate applies a late write, and reports whether its condition held.
func (w *model) applyLate(i int) (late lateWrite, done bool) {
	late = w.late[i]
	w.late = slices.Delete(slices.Clone(w.late), i, i+1)
	return late, w.applyWrite(&late.write)
}

// applyLateAndAnswer applies a late write, and delivers the answer if the host has not restarted since.
func (w *model) applyLateAndAnswer(i int) {
	late, done := w.applyLate(i)
	if h := w.hosts[late.host]; h.start == late.start {
		w.deliverAnswer(h, &late.write, done, w.answer(h, late.sent, w.now, w.storeState))
	}
}

// eventsOf returns the possible events of one host.
func (w *model) eventsOf(i int) []event {
	h := w.hosts[i]
	now := w.localTime(h)
	_, _, holds := h.lease.Holds(now)
	events := []event{
		{h.name + " reads", 6, func() { w.read(h, outcomeAnswered) }},
		{h.name + " reads slowly", 1, func() { w.read(h, outcomeSlow) }},
		{h.name + " restarts", 1, func() { w.restart(h) }},
		{h.name + " is suspended", 2, func() { w.suspend(h) }},
	}
	mayTake := h.lease.WaitTime(now) == 0 || w.mutant == successorDoesNotWait || (w.mutant == noWaitAfterLostRow && h.lease.row.Version == 0)
	if !holds && h.hasRead && mayTake {
		for f := range numOutcomes {
			events = append(events, event{fmt.Sprintf("%s takes the lease (%d)", h.name, f), outcomeWeights[f], func() { w.write(i, w.take(h), f) }})
		}
	}
	if holds {
		for f := range numOutcomes {
			events = append(events, event{fmt.Sprintf("%s renews (%d)", h.name, f), outcomeWeights[f] / 3, func() { w.write(i, h.lease.Renew(now, Memo{}), f) }})
			events = append(events, event{fmt.Sprintf("%s releases the lease (%d)", h.name, f), outcomeWeights[f] / 3, func() { w.release(i, f) }})
		}
	}
	if holds || (w.mutant == noCheckBeforeCall && h.lease.held != nil) {
		events = append(events, event{h.name + " calls the provider", 12, func() { w.callProvider(h, false) }}, event{h.name + " calls the provider, and the call takes until the end of the lease", 3, func() { w.callProvider(h, true) }})
	}
	return events
}

// suspend suspends a host for a third of a lease. Its clock counts that time.
func (w *model) suspend(h *modelHost) {
	w.now += leaseTime / 3
	if w.mutant == clockStopsInSuspension {
		h.suspended += leaseTime / 3
	}
}

func (w *model) read(h *modelHost, f callOutcome) {
	sent, at := w.localTime(h), w.now
	if f == outcomeSlow {
		w.now += leaseTime / 3
	}
	h.lease.Observe(w.answer(h, sent, at, w.storeState))
	h.hasRead = true
}

func (w *model) take(h *modelHost) Write {
	write := h.lease.Take(w.localTime(h))
	if w.mutant == tokenFromMemory {
		h.rememberedToken++
		write.Record.Token = h.rememberedToken
	}
	if w.mutant == tokenWithoutEra {
		write.Record.Token = era.Number(write.Record.Token)
	}
	if w.mutant == formerHoldersDropped {
		write.Record.Former = nil
	}
	return write
}

func (w *model) release(i int, f callOutcome) {
	h := w.hosts[i]
	sent := make(map[uint64]time.Time)
	for sequence, at := range h.lease.sentAt {
		sent[sequence] = at
	}
	// The calls in flight are reset.
	for n := range w.arrivals {
		if w.arrivals[n].host == h.name {
			w.arrivals[n].at = min(w.arrivals[n].at, w.now+MaxFlightTime)
		}
	}
	write := h.lease.Release(w.localTime(h), Memo{})
	if w.mutant == formerHoldersDropped {
		write.Record.Former = nil
	}
	if w.mutant == writesBeforeReleaseCount {
		h.lease.sentAt = sent
	}
	w.write(i, write, f)
}

// write sends a write of a host to the store.
func (w *model) write(i int, write Write, f callOutcome) {
	h := w.hosts[i]
	sent, at := w.localTime(h), w.now
	switch f {
	case outcomeLost:
		return
	case outcomeAppliedLate:
		w.late = append(slices.Clone(w.late), lateWrite{host: i, start: h.start, sent: sent, write: write})
		return
	}
	done := w.applyWrite(&write)
	if f == outcomeUnanswered {
		return
	}
	if f == outcomeSlow {
		w.now += leaseTime / 3
	}
	w.deliverAnswer(h, &write, done, w.answer(h, sent, at, w.storeState))
}

// deliverAnswer passes the answer to a write to its host.
func (w *model) deliverAnswer(h *modelHost, write *Write, done bool, answer Answer) {
	if done {
		h.lease.ObserveWrite(write, answer)
	} else {
		h.lease.Observe(answer)
	}
	if w.mutant == renewalCountsFromAnswer && h.lease.held != nil {
		h.lease.held.expires = answer.Received.Add(leaseTime)
	}
}

// callProvider sends a call to the provider, which arrives immediately or, if it is long, at the end of the lease.
func (w *model) callProvider(h *modelHost, long bool) {
	a := arrival{at: w.now, host: h.name, token: h.lease.held.token}
	if left := time.Duration(float64(h.lease.held.expires.Sub(w.localTime(h))) / h.rate); long && left > 0 {
		a.at += left
	}
	w.arrivals = append(slices.Clone(w.arrivals), a)
}

// violation returns the rule that is violated, or an empty string.
func (w *model) violation() string {
	arrivals := slices.SortedStableFunc(slices.Values(w.arrivals), func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	holders := make(map[uint64]string)
	for i, a := range arrivals {
		if i > 0 && a.token < arrivals[i-1].token {
			return "a call with a lower token after one with a higher token"
		}
		if holder, ok := holders[a.token]; ok && holder != a.host {
			return "two holders with the same token"
		}
		holders[a.token] = a.host
		otherBetween := false
		for j := i - 1; j >= 0 && a.at-arrivals[j].at <= leaseTime; j-- {
			if arrivals[j].host != a.host {
				otherBetween = true
			} else if otherBetween {
				return "two hosts act alternately within the duration of a lease"
			}
		}
	}
	return ""
}

// clone returns a deep copy, from which the search continues with another event.
func (w *model) clone() *model {
	c := *w
	c.hosts = nil
	for _, h := range w.hosts {
		copied, l := *h, *h.lease
		l.sentAt = make(map[uint64]time.Time, len(h.lease.sentAt))
		for sequence, at := range h.lease.sentAt {
			l.sentAt[sequence] = at
		}
		if l.held != nil {
			g := *l.held
			l.held = &g
		}
		copied.lease = &l
		c.hosts = append(c.hosts, &copied)
	}
	c.trace, c.arrivals = slices.Clone(w.trace), slices.Clone(w.arrivals)
	return &c
}

// signature returns the same text for states with the same possible continuations.
func (w *model) signature() string {
	text := fmt.Sprint(w.row.Version, w.revision, recordText(w.row.Record), w.now, w.era, w.clockShift)
	for _, c := range w.backups {
		text += fmt.Sprint("|copy", c.row.Version, c.revision, recordText(c.row.Record))
	}
	for _, h := range w.hosts {
		l := h.lease
		text += fmt.Sprint("|", h.start, h.hasRead, l.sequence, l.sentAt, l.row.Version, recordText(l.row.Record), l.rowSeenAt.UnixNano(), l.last.At, l.last.Revision)
		if l.held != nil {
			text += fmt.Sprint(*l.held)
		}
	}
	for _, late := range w.late {
		text += fmt.Sprint("|late", late.host, late.start, late.sent.UnixNano(), late.write.Expected, recordText(&late.write.Record))
	}
	return text + fmt.Sprint(w.arrivals)
}

func recordText(r *Record) string {
	if r == nil {
		return "-"
	}
	return fmt.Sprint(*r)
}

// playAll plays all orders of events up to a depth, and returns the first one that violates a rule.
func (w *model) playAll(depth int, seen map[string]int) string {
	if violation := w.violation(); violation != "" {
		return fmt.Sprintf("%s: %q", violation, w.trace)
	}
	if depth == 0 {
		return ""
	}
	signature := w.signature()
	if seen[signature] >= depth {
		return ""
	}
	seen[signature] = depth
	for i := range w.events() {
		next := w.clone()
		next.playEvent(i)
		if violation := next.playAll(depth-1, seen); violation != "" {
			return violation
		}
	}
	return ""
}

func (w *model) playEvent(i int) {
	e := w.events()[i]
	w.trace = append(w.trace, fmt.Sprintf("%v %s", w.now, e.name))
	e.play()
}

// playRandom plays one random order of events.
func playRandom(m mutant, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0))
	w := newModel(m, 2+int(seed%2))
	for range randomDepth {
		w.playEvent(pickEvent(w.events(), random))
		if violation := w.violation(); violation != "" {
			return fmt.Sprintf("seed %d: %s: %q", seed, violation, w.trace)
		}
	}
	return ""
}

// pickEvent returns the index of a random event.
func pickEvent(events []event, random *rand.Rand) int {
	sum := 0
	for _, e := range events {
		sum += e.weight
	}
	left := random.IntN(sum)
	for i, e := range events {
		if left -= e.weight; left < 0 {
			return i
		}
	}
	return 0
}

// playRandomOrders plays random orders until one violates a rule, and returns that one.
func playRandomOrders(m mutant, number int) string {
	for n := range number {
		if violation := playRandom(m, *modelSeed*1_000_000+uint64(n)); violation != "" {
			return violation
		}
	}
	return ""
}

func TestModel(t *testing.T) {
	c := qt.New(t)
	// Nothing can happen before a host has read the row, so the search starts after the first reads.
	w := newModel(noMutant, 2)
	for _, h := range w.hosts {
		w.read(h, outcomeAnswered)
	}
	c.Check(w.playAll(*modelDepth, make(map[string]int)), qt.Equals, "")
	c.Check(playRandomOrders(noMutant, *modelOrders), qt.Equals, "")
}

// TestModelFindsMutants checks that the model detects each fault that the rules prevent.
func TestModelFindsMutants(t *testing.T) {
	for _, m := range []mutant{renewalCountsFromAnswer, successorDoesNotWait, tokenFromMemory, noCheckBeforeCall, formerHoldersDropped, writesBeforeReleaseCount, clockStopsInSuspension, erasIgnored, rowsOfEarlierErasCount, noWaitAfterLostRow, tokenWithoutEra} {
		t.Run(string(m), func(t *testing.T) {
			found := playRandomOrders(m, maxMutantOrders)
			qt.Check(t, found, qt.Not(qt.Equals), "")
			t.Log(found)
		})
	}
}
