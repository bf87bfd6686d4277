// Package operator is the operators' interface of one daemon, and its client: health, readiness,
// metrics, status, explanations, and reading and changing the settings. Both programs serve it, and
// cmd/oxbowslip calls it. It owns no state; what it shows and changes comes in as Parts.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// ShardStatus is the state of one shard.
type ShardStatus struct {
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	// Endpoints is what the shard's scheduler has learned of each.
	Endpoints []EndpointStatus `json:"endpoints,omitzero"`
}

// EndpointStatus is what the shared queue of a shard has learned of an endpoint.
type EndpointStatus struct {
	ID       string  `json:"id"`
	InFlight int     `json:"in_flight"`
	Limit    float64 `json:"limit"`
	// Between is the mean time between tokens.
	Between time.Duration `json:"between"`
	// Ejected is why the endpoint gets no work now, or empty.
	Ejected string `json:"ejected,omitzero"`
	// Probing is set while one request tests whether the endpoint works again.
	Probing bool `json:"probing,omitzero"`
}

// Status is the state of one daemon.
type Status struct {
	Host     string        `json:"host"`
	Zone     string        `json:"zone"`
	Version  string        `json:"version"`
	Revision uint64        `json:"revision"`
	Ready    bool          `json:"ready"`
	Problem  string        `json:"problem,omitzero"`
	Open     int           `json:"open"`
	Shards   []ShardStatus `json:"shards"`
	// Schedulers is the host that schedules each shard, as this host sees it.
	Schedulers map[string]string `json:"schedulers"`
	// Refusals counts refusals by reason since the start; those at 0 are left
	// out.
	Refusals map[string]uint64 `json:"refusals"`
	// Hosts is the number of hosts that this one knows, itself included. Directory is the
	// revision up to which it knows the endpoints, Endpoints the number of those that take new
	// work, Ejected the IDs of those that get none from this host because they failed.
	Hosts     int    `json:"hosts,omitzero"`
	Directory uint64 `json:"directory,omitzero"`
	// Era counts how often the store has come back from an older copy, as far as the host knows.
	Era       uint64    `json:"era,omitzero"`
	Endpoints int       `json:"endpoints,omitzero"`
	Ejected   []string  `json:"paused,omitzero"`
	Now       time.Time `json:"now"`
	// Freshness is nil for hosts that poll the platform themselves.
	Freshness *Freshness `json:"freshness,omitzero"`
	// Leader is what the host knows of the one that reports usage and orders endpoints, or nil where there is none.
	Leader *Leader `json:"leader,omitzero"`
	// Poison are the requests that this host does not send, because endpoints end when they run them.
	Poison []PoisonRequest `json:"poison,omitzero"`
	// Pushback are the endpoints that leave, want rest or reject requests, by ID.
	Pushback []EndpointPushback `json:"pushback,omitzero"`
}

// EndpointPushback is what a host knows of an endpoint that does not take all requests.
type EndpointPushback struct {
	Endpoint string `json:"endpoint"`
	// Leaving is set if it takes no new work any more.
	Leaving bool `json:"leaving,omitzero"`
	// Rest is for how long it wants no request from the host; 0 if it does not rest.
	Rest time.Duration `json:"rest,omitzero"`
	// Rejects is the share of requests that it is expected to reject, from 0 to 1.
	Rejects float64 `json:"rejects,omitzero"`
	// Fails is the share of requests that it is expected to fail beyond what its peers fail, from 0 to 1.
	Fails float64 `json:"fails,omitzero"`
	// Limit is how many requests a second it takes from all hosts, or nil if it names no limit.
	Limit *float64 `json:"limit,omitzero"`
}

// Leader is what a host knows of the leader.
type Leader struct {
	// Host is the one that leads, or empty if none does as far as this one knows.
	Host string `json:"host"`
	// Token is the fencing token of its lease, Left how long that lasts yet; below 0 if it has ended.
	Token uint64        `json:"token"`
	Left  time.Duration `json:"left"`
	// Reported is the number of the window of usage up to which all are reported.
	Reported uint64 `json:"reported"`
	// Leads is set if this host leads by its own clock.
	Leads bool `json:"leads,omitzero"`
}

// PoisonRequest is a request that no host sends.
type PoisonRequest struct {
	// Key is that of the request, as request: lines show it.
	Key string `json:"key"`
	// Endpoints are the keys of those that ended under it, the first one first.
	Endpoints []string `json:"endpoints"`
	// Left is how long that still holds.
	Left time.Duration `json:"left"`
}

// Freshness is how old what a host knows from the deployment's store may be.
type Freshness struct {
	// Settings and Endpoints are the times since the store last confirmed, to this host or to a
	// peer, that the host knows all of them; below 0 if that has not happened since its start.
	Settings  time.Duration `json:"settings"`
	Endpoints time.Duration `json:"endpoints"`
	// ReadsStore is set if the host reads the store for all others and gets answers.
	ReadsStore bool `json:"reads_store,omitzero"`
}

// Problem is an error answer.
type Problem struct {
	Error string `json:"error"`
}

// Server answers operators.
type Server struct{ parts Parts }

// Changes accepts changes of the settings and reads accepted ones. A host whose settings
// are changed elsewhere refuses all.
type Changes interface {
	// Accept stores a change and returns its revision. A change that was not accepted, or
	// of which that is not known, is a *ChangeError.
	Accept(ctx context.Context, c settings.Change) (uint64, error)
	// Find reads an accepted change. The error is ErrChangeNotFound if there is none.
	Find(ctx context.Context, revision uint64) (settings.Change, error)
}

// Parts are what the server shows and changes.
type Parts struct {
	Keys      []hostconfig.OperatorKey
	Counters  *counters.Counters
	Explained *explain.Ring
	Recorded  *record.Ring
	Settings  *settings.Holder
	Changes   Changes
	// Tree returns the tree in force; its revision is 0 before the first.
	Tree   func() SettingsAnswer
	Status func() Status
	// LiftPoison has a poison request sent again by all hosts, and reports whether it was one. It is nil where hosts don't
	// look for them.
	LiftPoison func(key string) bool
}

// New returns a server for operators that does not listen yet.
func New(parts Parts) *Server { return &Server{parts: parts} }

// readHeaderTime bounds how long an operator may send the headers of a call.
const readHeaderTime = 10 * time.Second

// HTTP returns the HTTP server. Health, readiness and metrics need no key.
func (s *Server) HTTP() *http.Server {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	router.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", s.with(hostconfig.RoleRead, s.showStatus)).Methods(http.MethodGet)
	router.HandleFunc("/v1/requests/{id}", s.with(hostconfig.RoleRead, s.explain)).Methods(http.MethodGet)
	router.HandleFunc("/v1/settings/effective/{workspace}/{class:.+}", s.with(hostconfig.RoleRead, s.effective)).Methods(http.MethodGet)
	router.HandleFunc("/v1/recorded", s.with(hostconfig.RoleRead, s.showRecorded)).Methods(http.MethodGet)
	router.HandleFunc("/v1/settings", s.with(hostconfig.RoleRead, s.showSettings)).Methods(http.MethodGet)
	router.HandleFunc("/v1/settings/changes/{revision:[0-9]+}", s.with(hostconfig.RoleRead, s.showChange)).Methods(http.MethodGet)
	router.HandleFunc("/v1/poison/{key}", s.with(hostconfig.RoleChange, s.lift)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/settings/changes", s.with(hostconfig.RoleChange, s.takeChange)).Methods(http.MethodPost)
	return &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTime}
}

// with lets only operators pass whose key allows the role.
func (s *Server) with(role hostconfig.OperatorRole, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		found := s.find(key)
		switch {
		case found == nil:
			httprelay.WriteJSON(w, http.StatusUnauthorized, Problem{Error: "send an operator's key as Authorization: Bearer KEY"})
		case role == hostconfig.RoleChange && found.Role != hostconfig.RoleChange:
			httprelay.WriteJSON(w, http.StatusForbidden, Problem{Error: "this key may read, not change"})
		default:
			next(w, r.WithContext(context.WithValue(r.Context(), whoKey{}, found.Name)))
		}
	}
}

// whoKey is the context key of the operator's name.
type whoKey struct{}

// who returns the name of the operator of a request that passed with.
func who(r *http.Request) string {
	name, _ := r.Context().Value(whoKey{}).(string)
	return name
}

// find compares all keys in constant time.
func (s *Server) find(key string) *hostconfig.OperatorKey {
	hash := []byte(settings.HashKey(key))
	var found *hostconfig.OperatorKey
	for i := range s.parts.Keys {
		if subtle.ConstantTimeCompare(hash, []byte(s.parts.Keys[i].SHA256)) == 1 {
			found = &s.parts.Keys[i]
		}
	}
	return found
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	httprelay.WriteJSON(w, http.StatusOK, struct {
		OK bool `json:"ok"`
	}{true})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status := s.parts.Status()
	code := http.StatusOK
	if !status.Ready {
		code = http.StatusServiceUnavailable
	}
	httprelay.WriteJSON(w, code, struct {
		Ready   bool   `json:"ready"`
		Problem string `json:"problem,omitzero"`
	}{status.Ready, status.Problem})
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.parts.Counters.Write(w)
}

func (s *Server) showStatus(w http.ResponseWriter, _ *http.Request) {
	httprelay.WriteJSON(w, http.StatusOK, s.parts.Status())
}

func (s *Server) showRecorded(w http.ResponseWriter, r *http.Request) {
	after, err := time.Parse(time.RFC3339Nano, r.URL.Query().Get("after"))
	if err != nil {
		httprelay.WriteJSON(w, http.StatusBadRequest, Problem{Error: "say after=TIME (RFC 3339)"})
		return
	}
	httprelay.WriteJSON(w, http.StatusOK, s.parts.Recorded.Since(after))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	record, ok := s.parts.Explained.Get(id)
	if !ok {
		httprelay.WriteJSON(w, http.StatusNotFound, Problem{Error: "this host does not remember request " + id})
		return
	}
	httprelay.WriteJSON(w, http.StatusOK, record)
}

func (s *Server) lift(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	if s.parts.LiftPoison == nil || !s.parts.LiftPoison(key) {
		httprelay.WriteJSON(w, http.StatusNotFound, Problem{Error: "this host gives no request up that has the key " + key})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) effective(w http.ResponseWriter, r *http.Request) {
	revision := s.parts.Settings.Current()
	if revision == nil {
		httprelay.WriteJSON(w, http.StatusServiceUnavailable, Problem{Error: "no settings are in force yet"})
		return
	}
	vars := mux.Vars(r)
	list, ok := revision.Tree.Explain(vars["workspace"], vars["class"])
	if !ok {
		httprelay.WriteJSON(w, http.StatusNotFound, Problem{Error: "no such workspace or class"})
		return
	}
	httprelay.WriteJSON(w, http.StatusOK, list)
}
