package poison

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The messages between hosts: CBOR arrays, whose fields must not change, since hosts of different versions run side by
// side. Hosts that don't know the kind drop it.

// Report is what a host has observed since its last report, and verdicts that all hosts should have.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Ends []ReportedCrash
	// Answered are requests that have been answered completely in the meantime, or lifted by an operator.
	Answered []keys.Content
	Verdicts []ReportedVerdict
}

// ReportedCrash is a crash of an endpoint that had some contents.
type ReportedCrash struct {
	_ struct{} `cbor:",toarray"`

	Content  keys.Content
	Endpoint keys.Endpoint
	// AtMs is when the crash was noticed, in milliseconds of the store's clock.
	AtMs  int64
	Begun bool
}

// ReportedVerdict declares contents to be poison.
type ReportedVerdict struct {
	_ struct{} `cbor:",toarray"`

	Content keys.Content
	// UntilMs is when the verdict expires, in milliseconds of the store's clock.
	UntilMs   int64
	Endpoints []keys.Endpoint
}

// Trials lists the parts of prompts that a host has tried, and those that have been answered.
type Trials struct {
	_ struct{} `cbor:",toarray"`

	Tried []PartTime
	// Sound are the parts that have been answered, for a host that has joined.
	Sound []PartTime
}

// Ends lists ends of endpoints under requests, which limit the copies that are sent of these. Verdicts on others may explain
// them, so they are no evidence for a verdict.
type Ends struct {
	_ struct{} `cbor:",toarray"`

	Ends []ReportedCrash
}

// PartTime is a part of prompts and a time.
type PartTime struct {
	_ struct{} `cbor:",toarray"`

	Part keys.Content
	// AtMs is in milliseconds of the store's clock.
	AtMs int64
}

func toMs(t freshness.StoreTime) int64 { return time.Duration(t).Milliseconds() }

func fromMs(ms int64) freshness.StoreTime {
	return freshness.StoreTime(time.Duration(ms) * time.Millisecond)
}

func reportedCrash(content keys.Content, crash Crash) ReportedCrash {
	return ReportedCrash{Content: content, Endpoint: crash.Endpoint, AtMs: toMs(crash.At), Begun: crash.Begun}
}

func (r *ReportedCrash) crash() Crash {
	return Crash{Endpoint: r.Endpoint, At: fromMs(r.AtMs), Begun: r.Begun}
}

func (r *ReportedVerdict) verdict() Verdict {
	return Verdict{Content: r.Content, Until: fromMs(r.UntilMs), Endpoints: r.Endpoints}
}

func reportedVerdict(v Verdict) ReportedVerdict {
	return ReportedVerdict{Content: v.Content, UntilMs: toMs(v.Until), Endpoints: v.Endpoints}
}
