// Package scaler orders endpoints from the provider, as a task of the leader.
//
// The package owns the plan of each service. It relies on package capacity, which decides what to order from the
// endpoints in the store, on package leader for the mandate and the records, and on a Provider, which makes the calls.
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

// Errors of a Provider that has answered.
var (
	// ErrNoneAvailable means that the provider has no such endpoints available now.
	ErrNoneAvailable = merry.Sentinel("the provider has no such endpoints available")
	// ErrRefused means that the provider did not accept the order.
	ErrRefused = merry.Sentinel("the provider rejected the order")
)

// Provider receives the orders.
type Provider interface {
	// Scale orders the number of endpoints of a service at a place. It blocks until the provider answers, ctx ends or
	// the time of the fence has passed.
	Scale(ctx context.Context, fence leader.Fence, service string, order capacity.Order) error
}

// Parts are the dependencies of a Scaler.
type Parts struct {
	Inventory *capacity.Inventory
	Settings  *settings.Holder
	Provider  Provider
	// Load returns the load of a service at all hosts.
	Load func(service string) engine.Load
	// FirstPart is the fraction of the highest number of spot endpoints that is ordered while nothing is known of
	// the traffic.
	FirstPart float64
	Log       *logrus.Entry
	Clock     func() time.Time
}

// Scaler orders endpoints while this host leads.
type Scaler struct {
	parts    Parts
	services map[string]*serviceState
}

// serviceState is the state of one service.
type serviceState struct {
	plan     *capacity.Plan
	estimate capacity.NeedEstimate
}

// New returns a scaler without orders.
func New(parts Parts) *Scaler { return &Scaler{parts: parts, services: make(map[string]*serviceState)} }

const (
	// planInterval is the time between two checks for orders that are due.
	planInterval = 200 * time.Millisecond
	// recordKey is the key of the record with the needs of the services.
	recordKey = "capacity"
)

// mandate is the part of leader.Mandate that the scaler uses.
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
		for name, service := range current.Tree.Services {
			if service.Scaling != nil {
				s.scale(ctx, m, name, service.Scaling)
			}
		}
	}
}

// load reads the needs that former leaders have estimated. It returns false if the store did not answer.
func (s *Scaler) load(ctx context.Context, m mandate) bool {
	records, err := m.Records(ctx)
	if err != nil {
		s.parts.Log.WithError(err).Warn("the records of former leaders can't be read; no endpoints are ordered until they can")
		return false
	}
	clear(s.services)
	for i := range records {
		if records[i].Key != recordKey {
			continue
		}
		var needs map[string]int
		if err := json.Unmarshal(records[i].Value, &needs); err != nil {
			s.parts.Log.WithError(err).Warn("the recorded need of endpoints can't be decoded; it is estimated again")
		}
		for name, need := range needs {
			s.serviceState(name).estimate.Need = need
		}
	}
	return true
}

// serviceState returns the state of a service.
func (s *Scaler) serviceState(name string) *serviceState {
	state := s.services[name]
	if state == nil {
		state = &serviceState{plan: capacity.NewPlan()}
		s.services[name] = state
	}
	return state
}

// scale sends the orders that are due for a service.
func (s *Scaler) scale(ctx context.Context, m mandate, name string, scaling *settings.Scaling) {
	now := s.parts.Clock()
	state := s.serviceState(name)
	fleet := s.parts.Inventory.Fleet(name)
	load := s.parts.Load(name)
	before := state.estimate.Need
	if before == 0 {
		state.estimate.Need = capacity.InitialNeed(scaling, len(scaling.ZonePrices), s.parts.FirstPart)
	}
	if need := state.estimate.Observe(now, load); need != before {
		s.parts.Log.WithFields(logrus.Fields{
			"service": name, "need": need, "before": before, "reading": load.BusyEngines, "requests": load.Requests, "open": load.Open,
			"ready": fleet.Ready(capacity.Regular) + fleet.Ready(capacity.Spot),
		}).Info("the estimated need of endpoints has changed")
		s.storeNeeds(ctx, m)
	}
	if state.estimate.Need == 0 {
		return
	}
	desired := state.plan.ComputeDesired(now, scaling, fleet, state.estimate.Need)
	for _, order := range state.plan.DueOrders(now, scaling, fleet, desired) {
		s.order(ctx, m, name, state, fleet, order)
	}
}

// storeNeeds writes the needs to the store for the next leader.
func (s *Scaler) storeNeeds(ctx context.Context, m mandate) {
	needs := make(map[string]int, len(s.services))
	for name, state := range s.services {
		needs[name] = state.estimate.Need
	}
	data, err := json.Marshal(needs, json.Deterministic(true))
	if err == nil {
		err = m.WriteRecords(ctx, leader.Record{Key: recordKey, Value: data})
	}
	if err != nil {
		s.parts.Log.WithError(err).Warn("the need of endpoints was not recorded for the next leader")
	}
}

// order sends one order to the provider.
func (s *Scaler) order(ctx context.Context, m mandate, name string, state *serviceState, fleet capacity.Fleet, order capacity.Order) {
	err := s.parts.Provider.Scale(ctx, m.Fence, name, order)
	log := s.parts.Log.WithFields(logrus.Fields{
		"service": name, "zone": order.Zone, "kind": order.Kind, "desired": order.Desired, "ready": fleet[order.Place].Ready,
		"leaving": fleet[order.Place].Leaving, "need": state.estimate.Need,
	})
	switch {
	case err == nil:
		m.RecordAnswer()
		state.plan.RecordOrder(s.parts.Clock(), order, false)
		log.Info("the provider accepted the order")
	case errors.Is(err, ErrNoneAvailable):
		m.RecordAnswer()
		state.plan.RecordOrder(s.parts.Clock(), order, true)
		log.Warn("the provider has no such endpoints available; the order will be repeated")
	case errors.Is(err, ErrRefused):
		m.RecordAnswer()
		log.WithError(err).Warn("the provider rejected the order; it will be sent again")
	case ctx.Err() == nil && !errors.Is(err, leader.ErrLeadershipLost):
		m.RecordNoAnswer()
		log.WithError(err).Warn("the provider did not answer the order; it will be sent again")
	}
}
