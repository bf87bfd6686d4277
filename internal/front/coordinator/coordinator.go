// Package coordinator finds the host that decides a matter for all hosts of oxbowslip-front, such as the permits of an
// endpoint, and matches that host's replies to the questions of this one.
//
// Every host computes the same order of the live hosts for a matter (rendezvous hashing), and asks the first one that
// replies. The package owns the numbers of the open questions and the hosts that do not reply. It relies on package
// gossip for the live hosts and for messages to them, which may be lost. Packages ratelimit, slots and origin use it, each
// with its own messages and timeouts.
package coordinator

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/envelope"
)

// Peers reaches the other hosts. Messages may be lost.
type Peers interface {
	// Senders returns the live hosts, this one first.
	Senders() []envelope.Sender
	// IsSettled reports whether this host knows its peers.
	IsSettled() bool
	// SendTo sends a message to a host.
	SendTo(host string, kind envelope.Kind, message any)
}

// Parts are the dependencies of an Asker.
type Parts struct {
	Peers Peers
	Log   *logrus.Entry
	Clock func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	// NoReplyTimeout is how long a host may leave questions unanswered, at least two in a row, before the next host in
	// order is asked. AvoidTime is how long the host is then passed over.
	NoReplyTimeout time.Duration
	AvoidTime      time.Duration
	// NoReplyLine is the log line when that begins.
	NoReplyLine string
}

// Asker asks the hosts that decide. R is the type of their replies. It is safe for concurrent use.
type Asker[R any] struct {
	parts Parts

	mu         sync.Mutex
	lastNumber uint64
	// replies holds the channel of each open question, by its number.
	replies map[uint64]chan R
	// unresponsive holds the hosts that did not reply to the last question.
	unresponsive map[envelope.Sender]unansweredQuestions
}

// unansweredQuestions are the successive questions that a host has left unanswered.
type unansweredQuestions struct {
	firstAt time.Time
	count   int
	// avoidUntil is when the host may be asked again.
	avoidUntil time.Time
}

// maxReplies is the number of replies to one question that may wait to be read; further ones are dropped.
const maxReplies = 4

// New returns an asker without open questions. It numbers its questions from a random number on, so that a late reply
// to an earlier start of this host is not matched to a question of this one.
func New[R any](parts Parts) *Asker[R] {
	return &Asker[R]{
		parts: parts, lastNumber: uint64(parts.Random() * math.MaxUint32), replies: make(map[uint64]chan R),
		unresponsive: make(map[envelope.Sender]unansweredQuestions),
	}
}

// Pick returns the host that decides a matter, and whether it replaces an unresponsive one. OK is false if that is this
// host and it does not know its peers yet.
func (a *Asker[R]) Pick(matter string) (host envelope.Sender, isSuccessor, ok bool) {
	hosts := a.parts.Peers.Senders()
	now := a.parts.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	var highest, highestUnresponsive uint64
	for _, candidate := range hosts {
		w := weight(candidate, matter)
		if now.Before(a.unresponsive[candidate].avoidUntil) {
			highestUnresponsive = max(highestUnresponsive, w)
			continue
		}
		if host.Host == "" || w > highest {
			host, highest = candidate, w
		}
	}
	return host, highestUnresponsive > highest, host != hosts[0] || a.parts.Peers.IsSettled()
}

// Preceding returns the number of live hosts that precede this one in the order for a matter, unresponsive ones
// included.
func (a *Asker[R]) Preceding(matter string) int {
	senders := a.parts.Peers.Senders()
	own, before := weight(senders[0], matter), 0
	for _, host := range senders[1:] {
		if weight(host, matter) > own {
			before++
		}
	}
	return before
}

// First returns the first hosts in the order for a matter, at most the given number.
func First(hosts []envelope.Sender, matter string, count int) []envelope.Sender {
	var first []envelope.Sender
	var weights []uint64
	for _, host := range hosts {
		w := weight(host, matter)
		at, _ := slices.BinarySearchFunc(weights, w, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at >= count {
			continue
		}
		first, weights = slices.Insert(first, at, host), slices.Insert(weights, at, w)
		if len(first) > count {
			first, weights = first[:count], weights[:count]
		}
	}
	return first
}

// weight orders the hosts that may decide a matter: the host with the highest weight decides.
func weight(host envelope.Sender, matter string) uint64 {
	return xxhash.Sum64String(host.Host + "\x00" + matter)
}

// Register returns the number for a new question, and the channel that receives its replies.
func (a *Asker[R]) Register() (uint64, <-chan R) {
	replies := make(chan R, maxReplies)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	a.replies[a.lastNumber] = replies
	return a.lastNumber, replies
}

// Unregister ends a question: later replies to it are dropped.
func (a *Asker[R]) Unregister(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.replies, number)
}

// Deliver passes a reply to the goroutine that awaits it. It returns false if the question is no longer open.
func (a *Asker[R]) Deliver(number uint64, reply R) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	replies, ok := a.replies[number]
	if !ok {
		return false
	}
	select {
	case replies <- reply:
		return true
	default:
		return false
	}
}

// Await returns the next reply of a host to a question. It returns false if none arrives within the timeout, which
// counts as no reply of the host, or if ctx ends first.
func (a *Asker[R]) Await(ctx context.Context, host envelope.Sender, replies <-chan R, timeout time.Duration) (R, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var none R
	select {
	case reply := <-replies:
		a.recordReply(host)
		return reply, true
	case <-timer.C:
		// If a reply is ready as well, select may have chosen either.
		select {
		case reply := <-replies:
			a.recordReply(host)
			return reply, true
		default:
		}
		a.recordNoReply(host)
	case <-ctx.Done():
	}
	return none, false
}

// recordReply records that a host replied.
func (a *Asker[R]) recordReply(host envelope.Sender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.unresponsive, host)
}

// recordNoReply records that a host did not reply.
func (a *Asker[R]) recordNoReply(host envelope.Sender) {
	now := a.parts.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.unresponsive[host]
	if s.count == 0 {
		s.firstAt = now
	}
	s.count++
	if s.count > 1 && now.Sub(s.firstAt) >= a.parts.NoReplyTimeout {
		a.parts.Log.WithFields(logrus.Fields{"peer": host.Host, "asks": s.count}).Warn(a.parts.NoReplyLine)
		s = unansweredQuestions{avoidUntil: now.Add(a.parts.AvoidTime)}
	}
	a.unresponsive[host] = s
}

// Expire removes records of unanswered questions older than AvoidTime of hosts that are not passed over. It is called
// about once a second.
func (a *Asker[R]) Expire() {
	now := a.parts.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for host, s := range a.unresponsive {
		if now.Sub(s.firstAt) > a.parts.AvoidTime && !now.Before(s.avoidUntil) {
			delete(a.unresponsive, host)
		}
	}
}
