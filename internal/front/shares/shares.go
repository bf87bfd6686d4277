// Package shares keeps the workspaces of oxbowslip-front within their fair shares of a service with engines that is
// short of capacity, and within the limits that the settings name for them. It addresses a workspace that sends many
// times its usual load, so that requests of the other workspaces are refused or late beside it.
//
// It owns the counts of the work that each workspace asks for at each service, of all hosts as far as this host knows,
// and the uses of limits. Ledger holds the counts and the rules: it does no I/O and takes the time as a parameter.
// Exchange adds the lock, the clock, the log and the messages between hosts. The package relies on package placement to
// ask before it chooses an endpoint and to report how that ended, and on package gossip to reach the other hosts.
package shares

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	// halfLife is the time in which the weight of counted work halves. A burst of some seconds is seen while it lasts,
	// and the counts of a peer that has fallen silent weigh an eighth after countTimeout.
	halfLife = 2 * time.Second
	// window is the mean age of counted work, halfLife / ln 2: counts divided by it are rates.
	window = halfLife * 1000 / 693
	// countTimeout is how long counts of a peer and refusals are remembered.
	countTimeout = 3 * halfLife
	// answerTokenCost is the work of a token of the answer, in prompt tokens.
	answerTokenCost = 4
	// answerShare is the expected length of an answer as a share of the request's maximum.
	answerShare = 0.5
)

const (
	// minRetry and maxRetry bound the time after which a refused caller should retry.
	minRetry = 250 * time.Millisecond
	maxRetry = 4 * time.Second
	// retrySpread is the share by which the retry times of requests refused together vary.
	retrySpread = 0.5
)

// Ask is a request for an endpoint.
type Ask struct {
	Service string
	Request *admission.Request
	// Tier is the tier of the request among those that the settings name.
	Tier int
	// Unread is the number of prompt tokens that an endpoint is expected to have to read.
	Unread int
	// HasRoom reports whether the endpoint that the request would get now serves it in time. A workspace that is over its
	// share may use what the others leave, and what the counts of work don't show yet.
	HasRoom func() bool
	// grantedAt is when the request got an endpoint.
	grantedAt time.Time
}

// work returns the work of the request in prompt tokens.
func (a *Ask) work() float64 {
	// The numbers come from callers' headers.
	return min(max(float64(a.Unread)+answerTokenCost*a.answerTokens(), 0), maxReportedWork)
}

// answerTokens returns the expected length of the answer.
func (a *Ask) answerTokens() float64 {
	if a.Request.AnswerTokens > 0 {
		return float64(a.Request.AnswerTokens)
	}
	return answerShare * float64(max(a.Request.MaxTokens, 0))
}

// weight returns the weight of the request's workspace.
func (a *Ask) weight() float64 {
	if a.Request.Weight <= 0 {
		return 1
	}
	return a.Request.Weight
}

// Verdict is the decision on a request. The zero value lets it pass.
type Verdict struct {
	IsRefused bool
	// RetryAfter is when the caller of a refused request should retry.
	RetryAfter time.Duration
	// Asked and Share are the work a second that the workspace of a refused request asks for, and its fair share. They
	// are 0 if a limit of the settings refuses the request.
	Asked, Share float64
}

// refuse returns a refusal with a time to retry within the bounds. Random is in [0, 1).
func refuse(after time.Duration, random float64) Verdict {
	after = min(max(after, minRetry), maxRetry)
	return Verdict{IsRefused: true, RetryAfter: time.Duration(float64(after) * (1 + retrySpread*random))}
}

// Over is a workspace that is over its share.
type Over struct {
	Service, Workspace string
	// Asked and Share are the work a second that the workspace asks for, and its fair share, in prompt tokens.
	Asked, Share float64
}

// Ledger holds the counts of work and the uses of limits. It is not safe for concurrent use; Exchange locks it.
type Ledger struct {
	services map[keys.Service]*service
	limits   limitTable
	// names are the names of workspaces, for operators.
	names map[keys.Workspace]string
}

// NewLedger returns a ledger without counts and without services.
func NewLedger() *Ledger {
	return &Ledger{services: make(map[keys.Service]*service), limits: newLimitTable()}
}

// SetSettings applies the parts of the settings that the rules use. Only services with a route are counted, so that the
// number of services is bounded.
func (l *Ledger) SetSettings(tree *settings.Tree) {
	services := make(map[keys.Service]*service)
	for _, route := range tree.Routes {
		policy, ok := tree.RoutePolicy("", route.Class)
		for _, target := range route.Targets {
			key := keys.OfService(target.Service)
			s := services[key]
			if s == nil {
				if s = l.services[key]; s == nil {
					s = newService(target.Service)
				}
				s.leastUrgent = 0
				services[key] = s
			}
			if ok {
				s.leastUrgent = max(s.leastUrgent, policy.Urgency)
			}
		}
	}
	l.services = services
	l.names = make(map[keys.Workspace]string, len(tree.Workspaces))
	for name := range tree.Workspaces {
		l.names[keys.OfWorkspace(name)] = name
	}
}

// Decide decides whether a request may ask for an endpoint. A request that has had an endpoint before always may. Hosts
// is the number of live hosts, random is in [0, 1).
func (l *Ledger) Decide(now time.Time, hosts int, ask *Ask, random float64) Verdict {
	if ask.Request.Retry {
		return Verdict{}
	}
	if verdict := l.limits.decide(now, ask, random); verdict.IsRefused {
		return verdict
	}
	s := l.services[keys.OfService(ask.Service)]
	if s == nil {
		return Verdict{}
	}
	verdict := s.decide(now, hosts, ask, random)
	if verdict.IsRefused {
		s.record(now, ask, totals{asked: ask.work(), overShare: ask.work()})
	}
	return verdict
}

// RecordWait counts a request that asks for an endpoint. RecordGrant, RecordRefusal or RecordCancel must follow.
func (l *Ledger) RecordWait(ask *Ask) { l.limits.recordWait(ask) }

// RecordGrant counts a request that got an endpoint. A request counts once, however many endpoints it tries.
func (l *Ledger) RecordGrant(now time.Time, ask *Ask) {
	l.limits.recordGrant(now, ask)
	if s := l.services[keys.OfService(ask.Service)]; s != nil && !ask.Request.Retry {
		s.record(now, ask, totals{asked: ask.work(), granted: ask.work()})
	}
}

// RecordRefusal counts a request that got no endpoint. One that had an endpoint before was not granted after all.
func (l *Ledger) RecordRefusal(now time.Time, ask *Ask, reason admission.Reason) {
	l.limits.recordCancel(ask)
	s := l.services[keys.OfService(ask.Service)]
	switch {
	case s == nil || reason == admission.ReasonNoEndpoint:
	case ask.Request.Retry:
		s.record(now, ask, totals{granted: -ask.work()})
	default:
		s.record(now, ask, totals{asked: ask.work()})
	}
}

// RecordCancel counts a request whose caller left before it got an endpoint.
func (l *Ledger) RecordCancel(ask *Ask) { l.limits.recordCancel(ask) }

// RecordEnd counts the end of a granted request.
func (l *Ledger) RecordEnd(now time.Time, ask *Ask) { l.limits.recordEnd(now, ask) }

// DropPeer removes the uses of limits of a peer that left. The work that it has reported loses its weight by itself.
func (l *Ledger) DropPeer(peer string) {
	delete(l.limits.peers, peer)
	for _, s := range l.services {
		delete(s.reports, peer)
	}
}

// Expire removes expired counts. It is called about once a second.
func (l *Ledger) Expire(now time.Time) {
	l.limits.expire(now)
	for _, s := range l.services {
		s.expire(now)
	}
}

// Over returns the workspaces that are over their shares.
func (l *Ledger) Over(now time.Time, hosts int) []Over {
	var list []Over
	for _, s := range l.services {
		list = append(list, s.over(now, hosts, l.names)...)
	}
	return list
}
