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

// The model: some hosts, each with a clock of its own speed, a store whose answers are late or lost, whose
// writes are lost or done late, and which comes back from older copies with another clock, another writer that spoils the row, and calls of the holders that arrive at the
// provider. Hosts freeze by not being chosen while time passes. All orders of events are played to a depth, and
// random ones far deeper. What must hold is checked from what the provider receives.

var (
	modelDepth = flag.Int("model.depth", 4, "events of each order that is played of all")
	modelWalks = flag.Int("model.walks", 3000, "random orders")
	modelSeed  = flag.Uint64("model.seed", 1, "seed of the random orders")
)

const (
	leaseTime = 3 * time.Second
	walkDepth = 40
	// mutantWalks is how many random orders are played at the most to find a mutant.
	mutantWalks = 30000
)

// mutant is a fault that the model must find.
type mutant string

// The mutants.
const (
	noMutant          mutant = ""
	countsFromAnswer  mutant = "a renewal counts from its answer"
	doesNotWait       mutant = "a successor does not wait"
	tokenFromMemory   mutant = "the token comes from memory"
	doesNotLook       mutant = "a holder does not look before it sends"
	forgetsFormer     mutant = "former holders are not remembered"
	believesOldWrites mutant = "a host that gave the lease up counts its earlier writes"
	standsStill       mutant = "the clock of a host stands still while it is suspended"
	knowsNoEras       mutant = "versions of different eras are compared"
	believesOldRows   mutant = "a row of an earlier era counts"
	takesLostRows     mutant = "nobody waits for a lease whose row was lost"
	tokensGoBack      mutant = "tokens are numbers without the era"
)

// arrival is a call that reaches the provider.
type arrival struct {
	at    time.Duration
	host  string
	token uint64
}

// writing is a write that the store may still do, of a start of a host.
type writing struct {
	host  int
	start int64
	sent  time.Time
	write Write
}

// table is what the store has. The version of its row is a number in the era.
type table struct {
	revision uint64
	row      Row
}

// keptCopies is how many states of the store it may come back from.
const keptCopies = 3

// modelHost is one host.
type modelHost struct {
	lease *Lease
	name  string
	start int64
	// rate is the speed of its clock.
	rate float64
	// asleep is how long it was suspended, for a mutant whose clock does not count that.
	asleep time.Duration
	// seen is set once it has read the row, memory is a token that a mutant remembers.
	seen   bool
	memory uint64
}

// model is the state of everything.
type model struct {
	mutant mutant
	now    time.Duration
	table
	// copies are the states before, the newest last. The store's clock says shift more than the time.
	copies   []table
	era      uint64
	shift    time.Duration
	hosts    []*modelHost
	late     []writing
	arrivals []arrival
	trace    []string
}

func newModel(m mutant, hosts int) *model {
	all := &model{mutant: m, table: table{revision: 7}}
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
	h.lease, h.seen = New(h.name, h.start, leaseTime), false
}

// local returns a host's clock.
func (w *model) local(h *modelHost) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now-h.asleep) * h.rate))
}

// answer returns the store's answer to a call that was sent at a time and arrives now.
func (w *model) answer(h *modelHost, sent time.Time, at time.Duration, t table) Answer {
	answer := Answer{Sent: sent, Received: w.local(h), At: freshness.StoreTime(at+w.shift) + 1e9, Revision: w.inEra(t.revision), Row: t.row}
	if t.row.Version > 0 {
		answer.Row.Version = w.inEra(t.row.Version)
	}
	if w.mutant == believesOldRows && t.row.Record != nil {
		record := *t.row.Record
		record.Era = w.era
		answer.Row.Record = &record
	}
	return answer
}

// inEra returns the revision of a number now.
func (w *model) inEra(number uint64) uint64 {
	if w.mutant == knowsNoEras {
		return number
	}
	revision, err := era.Revision(w.era, number)
	if err != nil {
		panic(err) // The model's numbers are small.
	}
	return revision
}

// change has the store write the row.
func (w *model) change(record *Record) {
	w.copies = append(slices.Clone(w.copies[max(len(w.copies)-keptCopies+1, 0):]), w.table)
	w.revision++
	w.row = Row{Version: w.revision, Record: record}
}

// restore has the store come back from a copy, with a clock that says less.
func (w *model) restore(i int) {
	w.table, w.copies = w.copies[i], slices.Clone(w.copies[:i])
	w.era++
	w.shift -= 2 * leaseTime
}

// do has the store do a write, and reports whether its condition held.
func (w *model) do(write *Write) bool {
	if w.row.Version != era.Number(write.Expected) {
		return false
	}
	record := write.Record
	w.change(&record)
	return true
}

// fate is what becomes of a call.
type fate int

// The fates.
const (
	answered fate = iota
	// slow is answered after a third of a lease.
	slow
	// unanswered is done without an answer, lost is not done, doneLate is done some time later.
	unanswered
	lost
	doneLate
	fates
)

// weights are how often the fates come.
var weights = [fates]int{answered: 18, slow: 4, unanswered: 4, lost: 4, doneLate: 4}

// event is one thing that may happen. In random orders it is as likely as its weight says: what hosts do in a row
// comes often, so that walks get far.
type event struct {
	name   string
	weight int
	play   func()
}

// events returns all that may happen now.
func (w *model) events() []event {
	events := []event{
		{"time: a third of a lease", 6, func() { w.now += leaseTime / 3 }},
		{"time: a lease", 1, func() { w.now += leaseTime + 2*Margin }},
		{"another writer spoils the row", 1, func() { w.change(nil) }},
	}
	for i := range w.copies {
		events = append(events, event{fmt.Sprintf("the store comes back from copy %d", i), 1, func() { w.restore(i) }})
	}
	for i := range w.late {
		name := "a late write of " + w.hosts[w.late[i].host].name
		events = append(events, event{name, 3, func() { w.doLate(i) }}, event{name + ", answered", 2, func() { w.answerLate(i) }})
	}
	for i := range w.hosts {
		events = append(events, w.eventsOf(i)...)
	}
	return events
}

// doLate does a late write, and reports whether its condition held.
func (w *model) doLate(i int) (late writing, done bool) {
	late = w.late[i]
	w.late = slices.Delete(slices.Clone(w.late), i, i+1)
	return late, w.do(&late.write)
}

// answerLate does a late write and answers it, if its host has not started again.
func (w *model) answerLate(i int) {
	late, done := w.doLate(i)
	if h := w.hosts[late.host]; h.start == late.start {
		w.answered(h, &late.write, done, w.answer(h, late.sent, w.now, w.table))
	}
}

// eventsOf returns what a host may do now.
func (w *model) eventsOf(i int) []event {
	h := w.hosts[i]
	now := w.local(h)
	_, _, holds := h.lease.Holds(now)
	events := []event{
		{h.name + " reads", 6, func() { w.read(h, answered) }},
		{h.name + " reads slowly", 1, func() { w.read(h, slow) }},
		{h.name + " starts again", 1, func() { w.restart(h) }},
		{h.name + " is suspended", 2, func() { w.suspend(h) }},
	}
	mayTake := h.lease.WaitTime(now) == 0 || w.mutant == doesNotWait || (w.mutant == takesLostRows && h.lease.row.Version == 0)
	if !holds && h.seen && mayTake {
		for f := range fates {
			events = append(events, event{fmt.Sprintf("%s takes the lease (%d)", h.name, f), weights[f], func() { w.write(i, w.take(h), f) }})
		}
	}
	if holds {
		for f := range fates {
			events = append(events, event{fmt.Sprintf("%s renews (%d)", h.name, f), weights[f] / 3, func() { w.write(i, h.lease.Renew(now, Memo{}), f) }})
			events = append(events, event{fmt.Sprintf("%s gives the lease up (%d)", h.name, f), weights[f] / 3, func() { w.release(i, f) }})
		}
	}
	if holds || (w.mutant == doesNotLook && h.lease.grant != nil) {
		events = append(events, event{h.name + " acts", 12, func() { w.act(h, false) }}, event{h.name + " acts, and the call takes long", 3, func() { w.act(h, true) }})
	}
	return events
}

// suspend has a host suspended for a third of a lease. Its clock counts that time.
func (w *model) suspend(h *modelHost) {
	w.now += leaseTime / 3
	if w.mutant == standsStill {
		h.asleep += leaseTime / 3
	}
}

func (w *model) read(h *modelHost, f fate) {
	sent, at := w.local(h), w.now
	if f == slow {
		w.now += leaseTime / 3
	}
	h.lease.Observe(w.answer(h, sent, at, w.table))
	h.seen = true
}

func (w *model) take(h *modelHost) Write {
	write := h.lease.Take(w.local(h))
	if w.mutant == tokenFromMemory {
		h.memory++
		write.Record.Token = h.memory
	}
	if w.mutant == tokensGoBack {
		write.Record.Token = era.Number(write.Record.Token)
	}
	if w.mutant == forgetsFormer {
		write.Record.Former = nil
	}
	return write
}

func (w *model) release(i int, f fate) {
	h := w.hosts[i]
	sent := make(map[uint64]time.Time)
	for sequence, at := range h.lease.sentAt {
		sent[sequence] = at
	}
	// Its calls under way are reset.
	for n := range w.arrivals {
		if w.arrivals[n].host == h.name {
			w.arrivals[n].at = min(w.arrivals[n].at, w.now+MaxFlightTime)
		}
	}
	write := h.lease.Release(w.local(h), Memo{})
	if w.mutant == forgetsFormer {
		write.Record.Former = nil
	}
	if w.mutant == believesOldWrites {
		h.lease.sentAt = sent
	}
	w.write(i, write, f)
}

// write sends a write of a host.
func (w *model) write(i int, write Write, f fate) {
	h := w.hosts[i]
	sent, at := w.local(h), w.now
	switch f {
	case lost:
		return
	case doneLate:
		w.late = append(slices.Clone(w.late), writing{host: i, start: h.start, sent: sent, write: write})
		return
	}
	done := w.do(&write)
	if f == unanswered {
		return
	}
	if f == slow {
		w.now += leaseTime / 3
	}
	w.answered(h, &write, done, w.answer(h, sent, at, w.table))
}

// answered hands the answer to a write to its host.
func (w *model) answered(h *modelHost, write *Write, done bool, answer Answer) {
	if done {
		h.lease.ObserveWrite(write, answer)
	} else {
		h.lease.Observe(answer)
	}
	if w.mutant == countsFromAnswer && h.lease.grant != nil {
		h.lease.grant.expires = answer.Received.Add(leaseTime)
	}
}

// act sends a call to the provider. It arrives at once, or at the end of the lease.
func (w *model) act(h *modelHost, long bool) {
	a := arrival{at: w.now, host: h.name, token: h.lease.grant.token}
	if left := time.Duration(float64(h.lease.grant.expires.Sub(w.local(h))) / h.rate); long && left > 0 {
		a.at += left
	}
	w.arrivals = append(slices.Clone(w.arrivals), a)
}

// broken returns what must hold and does not, or nothing.
func (w *model) broken() string {
	arrivals := slices.SortedStableFunc(slices.Values(w.arrivals), func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	holders := make(map[uint64]string)
	for i, a := range arrivals {
		if i > 0 && a.token < arrivals[i-1].token {
			return "a lower token after a higher one"
		}
		if holder, ok := holders[a.token]; ok && holder != a.host {
			return "two holders with the same token"
		}
		holders[a.token] = a.host
		between := false
		for j := i - 1; j >= 0 && a.at-arrivals[j].at <= leaseTime; j-- {
			if arrivals[j].host != a.host {
				between = true
			} else if between {
				return "two hosts act in turns"
			}
		}
	}
	return ""
}

// clone returns a copy, to go on from in several ways.
func (w *model) clone() *model {
	c := *w
	c.hosts = nil
	for _, h := range w.hosts {
		copied, l := *h, *h.lease
		l.sentAt = make(map[uint64]time.Time, len(h.lease.sentAt))
		for sequence, at := range h.lease.sentAt {
			l.sentAt[sequence] = at
		}
		if l.grant != nil {
			g := *l.grant
			l.grant = &g
		}
		copied.lease = &l
		c.hosts = append(c.hosts, &copied)
	}
	c.trace, c.arrivals = slices.Clone(w.trace), slices.Clone(w.arrivals)
	return &c
}

// signature returns the same text for states from which the same can follow.
func (w *model) signature() string {
	text := fmt.Sprint(w.row.Version, w.revision, recordText(w.row.Record), w.now, w.era, w.shift)
	for _, c := range w.copies {
		text += fmt.Sprint("|copy", c.row.Version, c.revision, recordText(c.row.Record))
	}
	for _, h := range w.hosts {
		l := h.lease
		text += fmt.Sprint("|", h.start, h.seen, l.sequence, l.sentAt, l.row.Version, recordText(l.row.Record), l.seenAt.UnixNano(), l.last.At, l.last.Revision)
		if l.grant != nil {
			text += fmt.Sprint(*l.grant)
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

// playAll plays all orders of events to a depth, and returns the first that breaks what must hold.
func (w *model) playAll(depth int, seen map[string]int) string {
	if broken := w.broken(); broken != "" {
		return fmt.Sprintf("%s: %q", broken, w.trace)
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
		if broken := next.playAll(depth-1, seen); broken != "" {
			return broken
		}
	}
	return ""
}

func (w *model) playEvent(i int) {
	e := w.events()[i]
	w.trace = append(w.trace, fmt.Sprintf("%v %s", w.now, e.name))
	e.play()
}

// walk plays a random order of events.
func walk(m mutant, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0))
	w := newModel(m, 2+int(seed%2))
	for range walkDepth {
		w.playEvent(pick(w.events(), random))
		if broken := w.broken(); broken != "" {
			return fmt.Sprintf("seed %d: %s: %q", seed, broken, w.trace)
		}
	}
	return ""
}

// pick returns the place of a random event.
func pick(events []event, random *rand.Rand) int {
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

// walks plays random orders until one breaks what must hold.
func walks(m mutant, number int) string {
	for n := range number {
		if broken := walk(m, *modelSeed*1_000_000+uint64(n)); broken != "" {
			return broken
		}
	}
	return ""
}

func TestModel(t *testing.T) {
	c := qt.New(t)
	// The row must have been read before anything can happen to it: that is not worth events.
	w := newModel(noMutant, 2)
	for _, h := range w.hosts {
		w.read(h, answered)
	}
	c.Check(w.playAll(*modelDepth, make(map[string]int)), qt.Equals, "")
	c.Check(walks(noMutant, *modelWalks), qt.Equals, "")
}

// TestModelFindsMutants shows that the model finds each fault that the rules are there for.
func TestModelFindsMutants(t *testing.T) {
	for _, m := range []mutant{countsFromAnswer, doesNotWait, tokenFromMemory, doesNotLook, forgetsFormer, believesOldWrites, standsStill, knowsNoEras, believesOldRows, takesLostRows, tokensGoBack} {
		t.Run(string(m), func(t *testing.T) {
			found := walks(m, mutantWalks)
			qt.Check(t, found, qt.Not(qt.Equals), "")
			t.Log(found)
		})
	}
}
