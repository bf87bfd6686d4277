package schedule

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// shareTable implements the guaranteed shares of the classes by deficit round robin over the granted work.
//
// A share must never cause the refusal of a higher tier's request. Each grant that a share gets before a
// waiting request of a higher tier therefore leaves one slot owed to the tiers above. A request of those
// tiers that was waiting at that time and is about to be refused is granted above the limit instead (see
// repaySlot).
type shareTable struct {
	classes map[string]*shareAccount
	order   []*shareAccount
	// owed counts the slots owed by each tier. owedAt is when the last of them was taken.
	owed   [Tiers]int
	owedAt [Tiers]time.Time
}

// shareAccount holds the credit of one class.
type shareAccount struct {
	class   string
	waiting int
	credit  float64
	// flows holds the flows with a request that no limit blocks, ordered by their oldest request.
	flows indexedHeap[*flow]
}

// maxCredit bounds the credit of a class, in grants of the size of its next request. It allows the next
// grant, but no burst after a quiet period.
const maxCredit = 2

func (t *shareTable) account(class string) *shareAccount {
	a, ok := t.classes[class]
	if !ok {
		a = &shareAccount{class: class}
		a.flows.index = func(f *flow) *int { return &f.accountIndex }
		a.flows.less = func(f, g *flow) bool { return byArrival(f.head(), g.head()) }
		t.classes[class] = a
		t.order = append(t.order, a)
	}
	return a
}

// update moves a flow to its position, or removes it if it has no request to grant.
func (a *shareAccount) update(f *flow) {
	if f.len() == 0 || f.parked {
		a.flows.remove(f)
		return
	}
	a.flows.put(f)
}

// head returns the class's oldest request that no limit blocks.
func (a *shareAccount) head() *item {
	f, ok := a.flows.first()
	if !ok {
		return nil
	}
	return f.head()
}

// maxShareFlows is the number of flows that are searched for a request on time. It bounds the work of a
// grant.
const maxShareFlows = 16

// next returns the most urgent request that can still meet its target, among the flows with the oldest
// requests. If there is none, it returns the oldest request. A share should not go to a caller who is about
// to time out while another can be answered in time.
func (a *shareAccount) next(now time.Time) *item {
	var best *item
	for _, f := range a.flows.elements[:min(maxShareFlows, len(a.flows.elements))] {
		it, onTime := f.next(now)
		if onTime && (best == nil || it.deadline().Before(best.deadline())) {
			best = it
		}
	}
	if best != nil {
		return best
	}
	return a.head()
}

// dueShare returns a request whose class has enough credit for it, or nil.
func (s *Scheduler) dueShare(now time.Time) *item {
	for _, a := range s.shares.order {
		s.Steps++
		if a.waiting == 0 || a.credit <= 0 {
			continue
		}
		it := a.next(now)
		if it != nil && a.credit >= s.work(it) {
			return it
		}
	}
	return nil
}

// work returns the size of a request, in tokens of an answer, for the shares and for the division among
// workspaces.
func (s *Scheduler) work(it *item) float64 {
	return float64(max(1, it.request.PromptTokens/promptTokensPerAnswerToken+s.predictLength(&it.request)))
}

// promptTokensPerAnswerToken is the number of prompt tokens that cost an engine as much as one token of the
// answer, in the engine model of the replays.
const promptTokensPerAnswerToken = 16

// chargeShare adds credit to the classes with waiting requests and charges the work of a grant to its class.
func (s *Scheduler) chargeShare(now time.Time, it *item, reason admission.Reason) {
	work := s.work(it)
	for _, a := range s.shares.order {
		s.Steps++
		if a.waiting == 0 {
			a.credit = min(a.credit, 0)
			continue
		}
		if head := a.head(); head != nil {
			a.credit = min(a.credit+head.request.Share*work, maxCredit*s.work(head))
		}
	}
	own := s.shares.account(it.request.Class)
	own.credit = max(own.credit-work, -maxCredit*work)
	if reason != admission.ReasonShare {
		return
	}
	if tier := it.request.Tier; s.waitingAtOrAbove(tier)-s.tiers[tier].count > 0 {
		s.shares.owed[tier]++
		s.shares.owedAt[tier] = now
	}
}

// repaySlot grants a request that would be refused otherwise, if the share of a lower tier took a slot while
// the request waited. The endpoint then has one request more than its limit.
func (s *Scheduler) repaySlot(now time.Time, it *item) bool {
	for tier := Tiers - 1; tier > it.request.Tier; tier-- {
		if s.shares.owed[tier] == 0 || it.request.Arrived.After(s.shares.owedAt[tier]) {
			continue
		}
		e := s.endpoints.leastLoaded(&it.request)
		if e == nil {
			return false
		}
		it.predictedTokens = s.predictLength(&it.request)
		s.shares.owed[tier]--
		s.grant(now, it, e, admission.ReasonGiveBack)
		return true
	}
	return false
}
