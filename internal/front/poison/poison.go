// Package poison finds requests that end the endpoints that run them, and has no host of the fleet send them any more.
// Such a request comes again, under new IDs and at any host, so that the bounds on the tries of one request don't bound
// what it does to all endpoints.
//
// It owns the evidence: which endpoints ended while they had which request, and the verdicts that follow from it. The
// rules are in Table, which does no input or output; Detector adds probes of endpoints that broke a call, what peers
// report, and the store, which keeps verdicts for hosts that were all down. It relies on package gossip for messages,
// and on package upstream for probes.
package poison

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// begunEnds is how many endpoints must end after they had begun to answer a request until it is poison, if those are
	// most of the endpoints that ended meanwhile. The users take three for proof; where others end too, as when a zone
	// is lost, a harmless request may be at three of them by chance: of 180,000 requests 30 were given up by mistake
	// while zones of 12 endpoints were lost, 3 at the most with the comparison (TestHarmlessRequestsAreNotBlamed).
	begunEnds = 3
	// manyEnds is the same whatever else has ended. A harmless request is sent four times at the most: two tries of its
	// caller at two endpoints each.
	manyEnds = 4
	// anyEnds is the same with those that had not begun: they ended perhaps while it waited there. An engine that ends
	// while it still reads the prompt is only found by these.
	anyEnds = 6
	// evidenceTime is how long an end counts, verdictTime how long a request stays poison: about what operators need to
	// mend an engine. Afterwards it is sent again, and one more end renews the verdict.
	evidenceTime = 10 * time.Minute
	verdictTime  = 10 * time.Minute
	// answerTime is how long after an answer no verdict of another host is taken over: longer than one that was sent
	// before is on its way.
	answerTime = 5 * time.Second
	// sameTime is how far apart ends may be that have one cause, such as the loss of a rack: hosts notice them when
	// their calls break.
	sameTime = 100 * time.Millisecond
	// sameEnd is how far apart two reports of one end of an endpoint may be. An endpoint that starts again under its ID
	// needs longer to end once more.
	sameEnd = 2 * time.Second
	// maxSuspects and maxVerdicts bound what is kept, to some 2 MB in all; the oldest go first.
	maxSuspects = 16384
	maxVerdicts = 4096
	// maxEnds bounds the ends that are kept to compare with.
	maxEnds = 4096
)

// Crash is an endpoint that ended while it had a request.
type Crash struct {
	Endpoint keys.Endpoint
	// At is when that was noticed, by the store's clock; 0 if the host did not know it.
	At freshness.StoreTime
	// Begun is set if the endpoint had begun to answer, or would not have said so before the answer was whole.
	Begun bool
}

// Verdict is a request that is poison.
type Verdict struct {
	Request keys.Request
	// Until is when it ends, by the store's clock.
	Until freshness.StoreTime
	// Endpoints are those that ended under the request.
	Endpoints []keys.Endpoint
}
