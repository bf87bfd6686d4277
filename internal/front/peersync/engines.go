package peersync

import (
	"math"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/placement"
)

// EngineReports returns the engine reports for the next message to peers.
func (s *Sync) EngineReports() []gossip.EngineReport {
	var reports []gossip.EngineReport
	for service, report := range s.parts.Placer.EngineReports() {
		reports = append(reports, toEngineReport(service, &report))
	}
	return reports
}

// HandleReport handles a peer's engine reports.
func (s *Sync) HandleReport(peer string, reports []gossip.EngineReport) {
	observed := make(placement.EngineReports, len(reports))
	for i := range reports {
		observed[reports[i].Service] = fromEngineReport(&reports[i])
	}
	s.parts.Placer.SetPeerEngineReports(peer, observed)
}

// toEngineReport encodes this host's observations of a service for messages.
func toEngineReport(service keys.Service, r *engine.Report) gossip.EngineReport {
	report := gossip.EngineReport{
		Service:  service,
		ReadRate: toFigure(r.Figures.ReadRate), EventTime: toFigure(r.Figures.EventTime),
		EventRead: toFigure(r.Figures.EventRead),
	}
	for class, d := range r.Traffic {
		if requests := roundToInt(d.Requests * gossip.RequestUnit); requests > 0 {
			report.Classes = append(report.Classes, gossip.ClassDemand{
				Class: class, Requests: requests, Prompt: roundToInt(d.Prompt / gossip.TokenUnit),
				Unread: roundToInt(d.Unread / gossip.TokenUnit), Open: roundToInt(d.Open),
			})
		}
	}
	return report
}

// fromEngineReport reverses toEngineReport.
func fromEngineReport(r *gossip.EngineReport) engine.Report {
	report := engine.Report{
		Figures: engine.Figures{
			ReadRate: fromFigure(r.ReadRate), EventTime: fromFigure(r.EventTime),
			EventRead: fromFigure(r.EventRead),
		},
		Traffic: make(engine.Traffic, len(r.Classes)),
	}
	for _, d := range r.Classes {
		report.Traffic[d.Class] = engine.Demand{
			Requests: float64(d.Requests) / gossip.RequestUnit, Prompt: float64(d.Prompt) * gossip.TokenUnit,
			Unread: float64(d.Unread) * gossip.TokenUnit, Open: float64(d.Open),
		}
	}
	return report
}

func toFigure(f engine.Figure) gossip.Figure {
	return gossip.Figure{Value: float32(f.Value), Samples: roundToInt(f.Samples)}
}

func fromFigure(f gossip.Figure) engine.Figure {
	return engine.Figure{Value: float64(f.Value), Samples: float64(f.Samples)}
}

func roundToInt(count float64) int { return int(math.Round(count)) }
