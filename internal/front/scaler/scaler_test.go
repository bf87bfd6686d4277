package scaler

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/capacity"
	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/leader"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// fakeLeadership implements the store, the provider and the mandate of a leader.
type fakeLeadership struct {
	records    map[string][]byte
	orders     []capacity.Order
	err        error
	answered   int
	unanswered int
}

func (f *fakeLeadership) Fence() (uint64, time.Duration, bool) { return 1, time.Second, true }
func (f *fakeLeadership) RecordAnswer()                        { f.answered++ }
func (f *fakeLeadership) RecordNoAnswer()                      { f.unanswered++ }

func (f *fakeLeadership) WriteRecords(_ context.Context, records ...leader.Record) error {
	for _, r := range records {
		f.records[r.Key] = r.Value
	}
	return nil
}

func (f *fakeLeadership) Records(context.Context) ([]leader.Record, error) {
	var records []leader.Record
	for key, value := range f.records {
		records = append(records, leader.Record{Key: key, Value: value})
	}
	return records, nil
}

func (f *fakeLeadership) Scale(_ context.Context, _ leader.Fence, _ string, order capacity.Order) error {
	f.orders = append(f.orders, order)
	return f.err
}

// runScaler runs a scaler as the leader for a time, with a steady load.
func runScaler(f *fakeLeadership, reading float64, lasts time.Duration) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	holder := settings.NewHolder()
	holder.SetIfNewer(&settings.Revision{Number: 1, Tree: &settings.Tree{Services: map[string]settings.Service{
		"llm": {Scaling: &settings.Scaling{Max: 60, SpotPrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1}}},
		"app": {},
	}}})
	inventory := capacity.NewInventory(func(string) bool { return false })
	inventory.Replace(follow.Batch[capacity.Change]{Revision: 3})
	s := New(Parts{
		Inventory: inventory, Settings: holder, Provider: f, Load: func(string) engine.Load { return engine.Load{BusyEngines: reading} },
		FirstPart: 0.5, Log: logrus.NewEntry(log), Clock: time.Now,
	})
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	s.lead(ctx, f)
}

func TestOrders(t *testing.T) {
	tests := map[string]struct {
		records map[string][]byte
		reading float64
		err     error
		// zone is the number of spot endpoints ordered in each zone.
		zone                 int
		answered, unanswered bool
	}{
		"no record and no traffic":             {map[string][]byte{}, 0, nil, 30, true, false},
		"the need recorded by a former leader": {map[string][]byte{recordKey: []byte(`{"llm":80}`)}, 0, nil, 40, true, false},
		"a record that can't be decoded":       {map[string][]byte{recordKey: []byte(`[]`)}, 0, nil, 30, true, false},
		"the need grows":                       {map[string][]byte{}, 67, nil, 50, true, false},
		"no such endpoints available":          {map[string][]byte{}, 0, merry.Wrap(ErrNoneAvailable), 30, true, false},
		"refused":                              {map[string][]byte{}, 0, merry.Wrap(ErrRefused), 30, true, false},
		"no answer":                            {map[string][]byte{}, 0, errors.New("silent"), 30, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := &fakeLeadership{records: test.records, err: test.err}
				runScaler(f, test.reading, 5*time.Second)
				desired := make(map[capacity.Place]int)
				for _, o := range f.orders {
					desired[o.Place] = o.Desired
				}
				for _, zone := range []string{"a", "b", "c"} {
					c.Check(desired[capacity.Place{Zone: zone, Kind: capacity.Spot}], qt.Equals, test.zone)
				}
				c.Check(f.answered > 0, qt.Equals, test.answered)
				c.Check(f.unanswered > 0, qt.Equals, test.unanswered)
				c.Check(string(f.records[recordKey]), qt.Not(qt.Equals), "[]", qt.Commentf("the record is valid for the next leader"))
			})
		})
	}
}
