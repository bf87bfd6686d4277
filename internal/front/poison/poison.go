// Package poison finds poison requests, which crash the endpoints that run them, and keeps all hosts of the fleet
// from sending them. Such a request returns under new IDs and at any host, so limits on the attempts of one request
// don't bound the number of endpoints that it crashes.
//
// The package owns the evidence, that is, which endpoints crashed while they had which request, and the verdicts that
// follow from it. Table holds the rules and does no I/O. Detector adds probes of endpoints that broke a call, reports
// from peers, and the store, which keeps verdicts in case all hosts are down. The package relies on package gossip for
// messages and on package upstream for probes.
package poison

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// minMajorityCrashes is the number of endpoints that must crash after they began to answer a request for it to be
	// poison, provided that they are the majority of the endpoints that crashed in that period. The users accept
	// three crashes as proof. When other endpoints crash too, as in the loss of a zone, a harmless request may be at
	// three of them by chance: while zones of 12 endpoints were lost, 30 of 180,000 requests were rejected by mistake
	// without the comparison, and at most 3 with it (TestHarmlessRequestsAreNotBlamed).
	minMajorityCrashes = 3
	// minBegunCrashes is the number of such endpoints that is proof regardless of other crashes. A harmless request
	// is sent at most four times: two tries of its caller at two endpoints each.
	minBegunCrashes = 4
	// minCrashes is the number of crashed endpoints that is proof even if some or all of them had not begun to answer,
	// so that the request may only have waited there. An engine that crashes while it reads the prompt is found only
	// by such crashes.
	minCrashes = 6
	// evidenceValidity is how long a crash counts as evidence. verdictValidity is how long a request stays poison:
	// about the time that operators need to repair an engine. After that the request is sent again, and one more
	// crash renews the verdict.
	evidenceValidity = 10 * time.Minute
	verdictValidity  = 10 * time.Minute
	// answerHold is how long after an answer to a request no verdict on it is adopted from other hosts. It is
	// longer than a verdict that was sent before the answer takes to arrive.
	answerHold = 5 * time.Second
	// commonCauseInterval is the largest interval between crashes with a common cause, such as the loss of a rack:
	// hosts notice such crashes when their calls break.
	commonCauseInterval = 100 * time.Millisecond
	// sameCrashInterval is the largest interval between two reports of the same crash of an endpoint. An endpoint
	// that restarts under its ID needs longer to crash again.
	sameCrashInterval = 2 * time.Second
	// maxSuspects and maxVerdicts bound the table to about 2 MB in all; the oldest entries are dropped first.
	maxSuspects = 16384
	maxVerdicts = 4096
	// maxCrashes bounds the crashes that are kept for the comparison with other crashes.
	maxCrashes = 4096
)

// Crash is a crash of an endpoint that had a request.
type Crash struct {
	Endpoint keys.Endpoint
	// At is when the crash was noticed, by the store's clock; 0 if the host did not know that clock.
	At freshness.StoreTime
	// Begun is set if the endpoint had begun to answer, or if it reports nothing before its answer is complete.
	Begun bool
}

// Verdict declares a request to be poison.
type Verdict struct {
	Content keys.Content
	// Until is when the verdict expires, by the store's clock.
	Until freshness.StoreTime
	// Endpoints are the endpoints that crashed while they had the request.
	Endpoints []keys.Endpoint
}
