// Package scaler orders endpoints from the provider, as a task of the leader.
//
// It owns the plan of each service. What to order is decided in package capacity, by what the store has of the
// endpoints; the provider's calls are those of a Provider.
package scaler

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/capacity"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/leader"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The errors of a Provider that has answered.
var (
	// ErrNoneAvailable: there are no such endpoints to be had now.
	ErrNoneAvailable = merry.Sentinel("none to be had")
	// ErrRefused: the provider did not take the order.
	ErrRefused = merry.Sentinel("the provider refused")
)

// Provider takes the orders.
type Provider interface {
	// Scale orders the number of endpoints of a service at a place. It blocks until the provider answers, ctx ends
	// or the fence does.
	Scale(ctx context.Context, fence leader.Fence, service string, order capacity.Order) error
}

// Parts are what a Scaler works with.
type Parts struct {
	Inventory *capacity.Inventory
	Settings  *settings.Holder
	Provider  Provider
	// Load returns the work of a service at all hosts.
	Load func(service string) engine.Load
	// FirstPart is the part of the most spot endpoints that is ordered before anything is known of the traffic.
	FirstPart float64
	Log       *logrus.Entry
	Clock     func() time.Time
}

// Scaler orders endpoints while this host leads.
type Scaler struct {
	parts    Parts
	services map[string]*service
}

// service is what is known of one service.
type service struct {
	plan *capacity.Plan
	size capacity.NeedEstimate
}

// New returns a scaler that has ordered nothing.
func New(parts Parts) *Scaler { return &Scaler{parts: parts, services: make(map[string]*service)} }

const (
	// planInterval is the time between two looks at what is to be ordered.
	planInterval = 200 * time.Millisecond
	// recordKey is the key of the record of what is needed.
	recordKey = "capacity"
)

// mandate is what orders need of a leader.Mandate.
type mandate interface {
	Fence() (token uint64, left time.Duration, ok bool)
	WriteRecords(ctx context.Context, records ...leader.Record) error
	Records(ctx context.Context) ([]leader.Record, error)
	RecordAnswer()
	RecordNoAnswer()
}

// Lead orders endpoints until ctx ends. It implements leader.Task.
func (s *Scaler) Lead(ctx context.Context, m *leader.Mandate) { s.lead(ctx, m) }

func (s *Scaler) lead(ctx context.Context, m mandate) {
	defer s.parts.Inventory.Reset()
	for !s.load(ctx, m) {
		if !lifetime.Sleep(ctx, planInterval) {
			return
		}
	}
	for lifetime.Sleep(ctx, planInterval) {
		current := s.parts.Settings.Current()
		if current == nil || s.parts.Inventory.Revision() == 0 {
			continue
		}
		for name, of := range current.Tree.Services {
			if of.Scaling != nil {
				s.scale(ctx, m, name, of.Scaling)
			}
		}
	}
}

// load takes over what former leaders have found out. It reports whether that could be read.
func (s *Scaler) load(ctx context.Context, m mandate) bool {
	records, err := m.Records(ctx)
	if err != nil {
		s.parts.Log.WithError(err).Warn("what former leaders left can't be read yet")
		return false
	}
	clear(s.services)
	for i := range records {
		if records[i].Key != recordKey {
			continue
		}
		var needs map[string]int
		if err := json.Unmarshal(records[i].Value, &needs); err != nil {
			s.parts.Log.WithError(err).Warn("what is needed can't be read and is found out again")
		}
		for name, need := range needs {
			s.of(name).size.Need = need
		}
	}
	return true
}

// of returns what is known of a service.
func (s *Scaler) of(name string) *service {
	known := s.services[name]
	if known == nil {
		known = &service{plan: capacity.NewPlan()}
		s.services[name] = known
	}
	return known
}

// scale orders what is due of a service.
func (s *Scaler) scale(ctx context.Context, m mandate, name string, scaling *settings.Scaling) {
	now := s.parts.Clock()
	of := s.of(name)
	fleet := s.parts.Inventory.Fleet(name)
	load := s.parts.Load(name)
	before := of.size.Need
	if before == 0 {
		of.size.Need = capacity.InitialNeed(scaling, len(scaling.ZonePrices), s.parts.FirstPart)
	}
	if need := of.size.Observe(now, load); need != before {
		s.parts.Log.WithFields(logrus.Fields{
			"service": name, "need": need, "before": before, "reading": load.BusyEngines, "requests": load.Requests, "open": load.Open,
			"ready": fleet.Ready(capacity.Regular) + fleet.Ready(capacity.Spot),
		}).Info("endpoints needed")
		s.keep(ctx, m)
	}
	if of.size.Need == 0 {
		return
	}
	wanted := of.plan.ComputeDesired(now, scaling, fleet, of.size.Need)
	for _, order := range of.plan.DueOrders(now, scaling, fleet, wanted) {
		s.order(ctx, m, name, of, fleet, order)
	}
}

// keep leaves what is needed to the next leader.
func (s *Scaler) keep(ctx context.Context, m mandate) {
	needs := make(map[string]int, len(s.services))
	for name, of := range s.services {
		needs[name] = of.size.Need
	}
	data, err := json.Marshal(needs, json.Deterministic(true))
	if err == nil {
		err = m.WriteRecords(ctx, leader.Record{Key: recordKey, Value: data})
	}
	if err != nil {
		s.parts.Log.WithError(err).Warn("what is needed was not kept for the next leader")
	}
}

// order sends one order.
func (s *Scaler) order(ctx context.Context, m mandate, name string, of *service, fleet capacity.Fleet, order capacity.Order) {
	err := s.parts.Provider.Scale(ctx, m.Fence, name, order)
	log := s.parts.Log.WithFields(logrus.Fields{
		"service": name, "zone": order.Zone, "kind": order.Kind, "desired": order.Desired, "ready": fleet[order.Place].Ready,
		"leaving": fleet[order.Place].Leaving, "need": of.size.Need,
	})
	switch {
	case err == nil:
		m.RecordAnswer()
		of.plan.RecordOrder(s.parts.Clock(), order, false)
		log.Info("ordered")
	case errors.Is(err, ErrNoneAvailable):
		m.RecordAnswer()
		of.plan.RecordOrder(s.parts.Clock(), order, true)
		log.Warn("none to be had")
	case errors.Is(err, ErrRefused):
		m.RecordAnswer()
		log.WithError(err).Warn("an order was refused")
	case ctx.Err() == nil && !errors.Is(err, leader.ErrLeadershipLost):
		m.RecordNoAnswer()
		log.WithError(err).Warn("an order was not answered")
	}
}
