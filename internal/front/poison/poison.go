// Package poison finds poison, that is, contents that crash the endpoints that run them, and keeps all hosts of the fleet
// from sending them: whole requests, and parts of prompts that many different requests share. Such requests return under
// new IDs and at any host, so limits on the attempts of one request don't bound the number of endpoints that they crash.
//
// The package owns the evidence, that is, which endpoints crashed while they had which contents, and the verdicts that
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
	// minPartCrashes is the number of crashes, without a complete answer to any request with the part in between, that is
	// proof against a part of a prompt. Only endpoints that had begun to answer count. A sound part is in many requests,
	// so that it can be at each crash: it is cleared by the answers to the others.
	minPartCrashes = 4
	// minSoundPartCrashes is that number for a part that was in an answered request within soundTime: it may have become
	// poison with a new version of the endpoints' software.
	minSoundPartCrashes = 6
	soundTime           = 10 * time.Minute
	// recentRequestCount is the number of requests that a host remembers. A part that is in all of them can't be told apart
	// from whatever else they share.
	recentRequestCount = 64
	// minCrashRatio is how many times more crashes must be under a part than not under it.
	minCrashRatio = 2
	// judgeDelay is how long after a crash it counts in a verdict on a part: by then all hosts have reported their
	// requests at the endpoint, whose parts are compared.
	judgeDelay = 20 * time.Millisecond
	// minOtherCrashes is the number of crashes since a verdict on a part, at the rate of before and not under the part, that
	// proves the verdict wrong. Crashes count once reports on them must have arrived from all
	// hosts. continuedRateShare is the part of the rate of before that counts as the same rate.
	minOtherCrashes    = 8
	crashReportTime    = 200 * time.Millisecond
	continuedRateShare = 0.5
	// quietTime is how long no endpoint must have crashed, after a verdict was proved wrong in this way, before crashes
	// count against parts again.
	quietTime = 2 * time.Second
	// firstTrialDelay is the time from the last crash under a part to the first trial of its verdict. Each trial that
	// fails multiplies it by trialDelayGrowth: the users accept three requests with a guilty part after its verdict.
	firstTrialDelay  = 1500 * time.Millisecond
	trialDelayGrowth = 4
	// apartTrialDelay is the delay for a request that lacks the part that is the likelier cause of the crashes.
	apartTrialDelay = 250 * time.Millisecond
	// A trial is left to one host at first, which changes each trialTurn, and to twice as many after each trialSpreadTime: of
	// a part that few requests have, trials rarely collide. Of its turn a host uses trialTurnShare, since the hosts'
	// views of the store's clock differ.
	trialTurn       = 250 * time.Millisecond
	trialTurnShare  = 0.8
	trialSpreadTime = 500 * time.Millisecond
	// maxTrialDoublings makes it the turn of all hosts of the largest fleets.
	maxTrialDoublings = 16
	// partCrashInterval is the interval within which crashes count once against a part: they may have a common cause.
	partCrashInterval = 30 * time.Millisecond
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
	// maxCrashes bounds the crashes that are kept for the comparison with other crashes, and those that verdicts on parts
	// explain. maxSound bounds the parts that are known to have been answered, to about 0.5 MB.
	// maxAllCrashes bounds those that are kept to see whether crashes go on.
	maxCrashes    = 4096
	maxAllCrashes = 512
	maxSound      = 8192
)

// Crash is a crash of an endpoint that had some contents.
type Crash struct {
	Endpoint keys.Endpoint
	// At is when the crash was noticed, by the store's clock; 0 if the host did not know that clock.
	At freshness.StoreTime
	// Begun is set if the endpoint had begun to answer, or if it reports nothing before its answer is complete.
	Begun bool
	// Version is the version of the endpoint's software, or 0 if unknown. It is not sent between hosts.
	Version keys.Version
	// IsPresumed is set if no peer could confirm it. It then only limits copies, here and on other sides.
	IsPresumed bool
}

// Verdict declares contents to be poison.
type Verdict struct {
	Content keys.Content
	// IsSuspicion is set if the endpoints do not prove the verdict: it only limits the copies of a request.
	IsSuspicion bool
	// Until is when the verdict expires, by the store's clock.
	Until freshness.StoreTime
	// Endpoints are the endpoints that crashed while they had the contents; for a part of prompts the last ones that prove the
	// verdict, and those of trials.
	Endpoints []keys.Endpoint
	// Versions are the known software versions of these endpoints. They are neither sent between hosts nor stored.
	Versions []keys.Version
	// Proof is set if this host has the evidence. TriedAt is when a request with the part was last sent as a trial, or 0.
	// Later are the crashes under the part since. They are neither sent with the verdict nor stored.
	Proof   Proof
	TriedAt freshness.StoreTime
	Later   []Crash
}

// Proof is what a verdict rests on.
type Proof struct {
	// Crashes is the number of crashes with the contents, Others that of the other crashes in the same Period.
	Crashes, Others int
	Period          time.Duration
	// Endpoints are all endpoints that crashed with a part of prompts.
	Endpoints []keys.Endpoint
	// Last is the time of the last of these crashes.
	Last freshness.StoreTime
	// AnsweredAt is the time of the last complete answer to a request with the contents, or 0 if none is known.
	AnsweredAt freshness.StoreTime
}
