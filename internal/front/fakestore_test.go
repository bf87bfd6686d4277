package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	// storeDelay is how long the store takes to answer.
	storeDelay = 4 * time.Millisecond
	// storeUptime is what the store's clock shows when a test begins.
	storeUptime = 70 * time.Second
)

// storeFault is what a store does instead of answering a host.
type storeFault int

const (
	// storeBusy answers at once that nothing was done.
	storeBusy storeFault = iota + 1
	// storeSilent never answers, neither new calls nor those that it holds.
	storeSilent
	// storeSilentHeld never answers the calls that it holds now, and does new ones.
	storeSilentHeld
)

var errBusy = errors.New("the store is busy")

// fakeStore is the store of a test's hosts, in memory. It holds one configuration and the entries
// of endpoints.
type fakeStore struct {
	began time.Time

	mu sync.Mutex
	// era counts the restores, revision is the number of the newest change in it.
	era      uint64
	revision uint64
	// configs and endpoints are all changes, in order.
	configs   []stored[settings.Raw]
	endpoints []stored[directory.Change]
	changed   chan struct{}
	faults    map[string]storeFault
	// epoch counts how often calls that were held have been made silent, by host.
	epoch map[string]int
	calls int
}

// stored is a change with its revision.
type stored[T any] struct {
	revision uint64
	item     T
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		began: time.Now(), changed: make(chan struct{}), faults: make(map[string]storeFault), epoch: make(map[string]int),
	}
}

// configure stores a configuration with a number.
func (s *fakeStore) configure(number uint64) {
	s.change(func() {
		document := settings.Raw(fmt.Sprintf(`{"Number":%d}`, number))
		s.configs = append(s.configs, stored[settings.Raw]{s.revision, document})
	})
}

// put stores the entry of an endpoint.
func (s *fakeStore) put(id string, state settings.EndpointState) {
	s.change(func() {
		entry := directory.Entry{ID: id, Endpoint: settings.Endpoint{Service: "llm", Address: "10.9.0.1:1", MaxInFlight: 4, State: state}}
		s.endpoints = append(s.endpoints, stored[directory.Change]{s.revision, directory.Change{Entry: entry}})
	})
}

// putAll stores the entries of a number of endpoints, all at once. What sets them apart is as random as it is in use.
func (s *fakeStore) putAll(number int, state settings.EndpointState) {
	random := rand.New(rand.NewPCG(1, 2))
	s.change(func() {
		for n := range number {
			entry := directory.Entry{ID: fmt.Sprintf("i-%010x", random.Uint64N(1<<40)), Endpoint: settings.Endpoint{
				Service: "llm", Address: fmt.Sprintf("10.%d.%d.%d:8440", n%3, 64+n/600, random.IntN(250)), Zone: fmt.Sprint("zone-", n%3),
				Version: fmt.Sprint("v1 of ", 1_780_000_000_000+random.Int64N(1<<36)), MaxInFlight: 64, State: state,
			}}
			s.endpoints = append(s.endpoints, stored[directory.Change]{s.revision, directory.Change{Entry: entry}})
		}
	})
}

func (s *fakeStore) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore has the store come back without its newest changes.
func (s *fakeStore) restore(lost uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision -= lost
	s.configs = slices.DeleteFunc(s.configs, func(c stored[settings.Raw]) bool { return c.revision > s.revision })
	s.endpoints = slices.DeleteFunc(s.endpoints, func(c stored[directory.Change]) bool { return c.revision > s.revision })
	close(s.changed)
	s.changed = make(chan struct{})
}

// inEra returns the revision of a number now. The lock is held.
func (s *fakeStore) inEra(number uint64) uint64 {
	revision, err := era.Revision(s.era, number)
	if err != nil {
		panic(err) // The tests' numbers are small.
	}
	return revision
}

// harm lets the store treat some hosts in a certain way.
func (s *fakeStore) harm(fault storeFault, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		s.faults[host] = fault
		if fault == storeSilentHeld {
			s.epoch[host]++
		}
	}
}

func (s *fakeStore) called() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// count returns the number of calls so far.
func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// view is one host's source of a topic.
type view[T any] struct {
	store   *fakeStore
	host    string
	history func() []stored[T]
}

func configsOf(s *fakeStore, host string) view[settings.Raw] {
	return view[settings.Raw]{s, host, func() []stored[settings.Raw] { return s.configs }}
}

func endpointsOf(s *fakeStore, host string) view[directory.Change] {
	return view[directory.Change]{s, host, func() []stored[directory.Change] { return s.endpoints }}
}

// Load implements follow.Source.
func (v view[T]) Load(ctx context.Context) (follow.Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, follow.CallTimeout)
	defer cancel()
	return v.call(ctx, 0, 0)
}

// Wait implements follow.Source.
func (v view[T]) Wait(ctx context.Context, after uint64, held time.Duration) (follow.Batch[T], error) {
	return v.call(ctx, after, held)
}

func (v view[T]) call(ctx context.Context, after uint64, held time.Duration) (follow.Batch[T], error) {
	v.store.called()
	_, epoch := v.fault()
	time.Sleep(storeDelay)
	until := time.After(held)
	for {
		batch, changed, gone := v.read(era.Number(after))
		if gone {
			return batch, follow.ErrHistoryGone
		}
		over := held == 0 || len(batch.Items) > 0
		if !over {
			select {
			case <-changed:
				continue
			case <-until:
				batch, _, _ = v.read(era.Number(after))
			case <-ctx.Done():
				return batch, ctx.Err()
			}
		}
		fault, now := v.fault()
		switch {
		case fault == storeBusy:
			return batch, errBusy
		case fault == storeSilent, now != epoch:
			<-ctx.Done()
			return batch, ctx.Err()
		}
		return batch, nil
	}
}

// fault returns what the store does with the host's calls, and how often it has silenced those that
// it held.
func (v view[T]) fault() (storeFault, int) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	return v.store.faults[v.host], v.store.epoch[v.host]
}

// read returns the changes after a number, or reports that the store does not have it.
func (v view[T]) read(after uint64) (batch follow.Batch[T], changed chan struct{}, gone bool) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	batch = follow.Batch[T]{Revision: v.store.inEra(v.store.revision), At: freshness.StoreTime(time.Since(v.store.began) + storeUptime)}
	for _, change := range v.history() {
		if change.revision > after {
			batch.Items = append(batch.Items, change.item)
			batch.Changed = v.store.inEra(change.revision)
		}
	}
	return batch, v.store.changed, after > v.store.revision
}
