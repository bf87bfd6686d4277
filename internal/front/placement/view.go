package placement

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/pushback"
)

// View is what one host knows of the work and the state of all endpoints. It is not safe for
// concurrent use; Placer locks it.
type View struct {
	loads      loadTable
	ejections  ejectionTable
	holders    holderTable
	engines    engineTable
	partitions partitionCache
	// rejections knows which share of the requests each endpoint rejects.
	rejections *pushback.Rejections
	// failures knows which endpoints fail more than their peers.
	failures *pushback.Failures
	// random picks the endpoints that are compared, with numbers from 0 up to 1. If it is nil, all are.
	random func() float64
}

// NewView returns a view in which nothing was sent yet.
func NewView() *View {
	return &View{
		loads: newLoadTable(), ejections: newEjectionTable(), holders: make(holderTable), engines: make(engineTable),
		partitions: make(partitionCache), rejections: pushback.NewRejections(time.Now), failures: pushback.NewFailures(time.Now),
	}
}

// PeerReport is what a peer reports of its work and of the endpoints.
type PeerReport struct {
	Loads map[keys.Endpoint]Load
	// Ejected are the endpoints that the peer has ejected, with the end of each ejection.
	Ejected map[keys.Endpoint]time.Time
	Holders []Holder
}

// EngineReports is what a host has observed of the engines of each service.
type EngineReports map[keys.Service]engine.Report

// Expire forgets what is too old to count.
func (v *View) Expire(now time.Time) {
	v.loads.expire(now)
	v.ejections.expire(now)
	v.holders.expire(now)
}

// Hosts returns the number of live hosts whose loads are known, this one included.
func (v *View) Hosts() int { return len(v.loads.peers) + 1 }
