package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
)

// View is one host's view of the load and state of all endpoints. It is not safe for concurrent use; Placer locks it.
type View struct {
	loads      loadTable
	ejections  ejectionTable
	holders    holderTable
	engines    engineTable
	partitions partitionCache
	// rejections holds the share of requests that each endpoint rejects.
	rejections *pushback.Rejections
	// failures holds the endpoints that fail more requests than their peers.
	failures *pushback.Failures
	// finish decides which requests can end in time; nil if the rule is off.
	finish *finishRule
	// begun holds the versions at which streams that have begun want to go on.
	begun begunClaims
	// pace holds the speed of each endpoint.
	pace Pace
	// hasIdle reports whether this host has an idle connection to an address; nil if it does not matter.
	hasIdle func(address string) bool
	// random returns numbers in [0, 1) and selects the endpoints to compare. If it is nil, all are compared.
	random func() float64
}

// NewView returns a view without any load.
func NewView() *View {
	return &View{
		loads: newLoadTable(), ejections: newEjectionTable(), holders: make(holderTable), engines: make(engineTable),
		partitions: make(partitionCache), begun: make(begunClaims), rejections: pushback.NewRejections(time.Now), failures: pushback.NewFailures(time.Now),
		pace: equalPace{},
	}
}

// PeerReport is a peer's report of its load and of the endpoints.
type PeerReport struct {
	Loads map[keys.Endpoint]Load
	// Ejected holds the endpoints ejected by the peer, with the end of each ejection.
	Ejected map[keys.Endpoint]time.Time
	Holders []Holder
}

// EngineReports holds a host's observations of the engines of each service.
type EngineReports map[keys.Service]engine.Report

// Expire removes entries that have expired.
func (v *View) Expire(now time.Time) {
	v.loads.expire(now)
	v.ejections.expire(now)
	v.holders.expire(now)
	v.begun.expire(now)
}

// Hosts returns the number of live hosts with known loads, this one included.
func (v *View) Hosts() int { return len(v.loads.peers) + 1 }
