// Package operator implements the operators' HTTP interface of one daemon, and its client: health,
// readiness, metrics, status, explanations, and reading and changing the settings. Both programs serve
// it, and cmd/oxbowslip calls it. It owns no state and reads and changes that of its Parts.
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
	"oxbowslip.dev/oxbowslip/internal/intake"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// ShardStatus is the state of one shard.
type ShardStatus struct {
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	// Endpoints is the state of each endpoint that the shard's scheduler has learned.
	Endpoints []EndpointStatus `json:"endpoints,omitzero"`
}

// EndpointStatus is the state of an endpoint that the scheduler of a shard has learned.
type EndpointStatus struct {
	ID       string  `json:"id"`
	InFlight int     `json:"in_flight"`
	Limit    float64 `json:"limit"`
	// Between is the mean time between tokens.
	Between time.Duration `json:"between"`
	// Ejected is the reason why the endpoint is ejected, or empty if it is not.
	Ejected string `json:"ejected,omitzero"`
	// Probing is set while one request probes whether the endpoint has recovered.
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
	// Schedulers maps each shard to its scheduler, as far as this host has the information.
	Schedulers map[string]string `json:"schedulers"`
	// Refusals is the number of refusals by reason since the start, without
	// counts of 0.
	Refusals map[string]uint64 `json:"refusals"`
	// Hosts is the number of live hosts that this host has in its membership, including itself.
	// Directory is the directory revision up to which it has received the endpoints. Endpoints is
	// the number of endpoints that accept new requests. Ejected are the IDs of the endpoints that
	// this host has ejected after failures.
	Hosts     int    `json:"hosts,omitzero"`
	Directory uint64 `json:"directory,omitzero"`
	// Era is the number of restores of the store from an older backup that the host has been informed of.
	Era       uint64    `json:"era,omitzero"`
	Endpoints int       `json:"endpoints,omitzero"`
	Ejected   []string  `json:"paused,omitzero"`
	Now       time.Time `json:"now"`
	// Freshness is nil on hosts that poll the platform themselves.
	Freshness *Freshness `json:"freshness,omitzero"`
	// Leader describes the leader, which reports usage and orders endpoints. It is nil if the hosts elect no leader.
	Leader *Leader `json:"leader,omitzero"`
	// Poison are the requests that this host does not send because they crash the endpoints that run them.
	Poison []PoisonRequest `json:"poison,omitzero"`
	// Pushback are the endpoints, by ID, that are leaving, resting, rejecting requests or slow.
	Pushback []EndpointPushback `json:"pushback,omitzero"`
	// LostPaths is the number of endpoints that this host only reaches through a peer, Tunnels the number of connections
	// to endpoints that it serves for peers.
	LostPaths int `json:"lost_paths,omitzero"`
	Tunnels   int `json:"tunnels,omitzero"`
	// MixedServices are the services whose endpoints run several software versions.
	MixedServices []MixedService `json:"mixed_services,omitzero"`
	// OverShare are the workspaces that are over their share of a service that is short of capacity.
	OverShare []WorkspaceShare `json:"over_share,omitzero"`
	// Listeners are the listeners with connections, and the clients that take most of their memory.
	Listeners []Listener `json:"listeners,omitzero"`
}

// Listener describes what the connections of a listener take.
type Listener struct {
	Name        string `json:"name"`
	Connections int    `json:"connections"`
	// Memory is what they take in bytes, MemoryLimit the most that they may take.
	Memory      int64 `json:"memory"`
	MemoryLimit int64 `json:"memory_limit,omitzero"`
	// Clients are those that take most, by their IP numbers.
	Clients []intake.Client `json:"clients"`
}

// shownClients is the number of clients of a listener that are shown.
const shownClients = 5

// ListenersOf describes the listeners that have connections.
func ListenersOf(accounts *intake.Accounts) []Listener {
	var list []Listener
	for _, account := range accounts.All() {
		memory, connections := account.Used()
		if connections == 0 {
			continue
		}
		list = append(list, Listener{
			Name: account.Name(), Connections: connections, Memory: memory, MemoryLimit: account.Memory(), Clients: account.Clients(shownClients),
		})
	}
	return list
}

// MixedService describes a service whose endpoints run several software versions.
type MixedService struct {
	Service string `json:"service"`
	// Versions is the number of endpoints of each version, leaving ones included.
	Versions map[string]int `json:"versions"`
}

// WorkspaceShare describes a workspace that is over its share of a service.
type WorkspaceShare struct {
	Service string `json:"service"`
	// Workspace is empty for public calls.
	Workspace string `json:"workspace"`
	// Asked is the work a second that the workspace asks for from all hosts, and Share its fair share, in prompt tokens.
	Asked float64 `json:"asked"`
	Share float64 `json:"share"`
}

// EndpointPushback describes an endpoint that does not accept all requests, or is slow.
type EndpointPushback struct {
	Endpoint string `json:"endpoint"`
	// Leaving is set if the endpoint accepts no new requests because it is stopping.
	Leaving bool `json:"leaving,omitzero"`
	// Rest is the remaining time during which the endpoint wants no requests from this host; 0 if it is not resting.
	Rest time.Duration `json:"rest,omitzero"`
	// Rejects is the expected fraction of requests that the endpoint rejects, from 0 to 1.
	Rejects float64 `json:"rejects,omitzero"`
	// Fails is the expected fraction of requests that the endpoint fails in excess of its peers, from 0 to 1.
	Fails float64 `json:"fails,omitzero"`
	// Limit is the number of requests a second that the endpoint accepts from all hosts together, or nil if it names no
	// limit.
	Limit *float64 `json:"limit,omitzero"`
	// Slowness is the factor by which operations take longer at the endpoint than at its peers, or 0 if it is not slow.
	Slowness float64 `json:"slowness,omitzero"`
}

// Leader describes the leader as far as a host has the information.
type Leader struct {
	// Host is the leader, or empty if this host knows of no leader.
	Host string `json:"host"`
	// Token is the fencing token of the leader's lease. Left is the remaining time of the lease, negative if it has expired.
	Token uint64        `json:"token"`
	Left  time.Duration `json:"left"`
	// Reported is the number of the last usage window up to which all windows are reported.
	Reported uint64 `json:"reported"`
	// Leads is set if this host is the leader according to its own clock.
	Leads bool `json:"leads,omitzero"`
}

// PoisonRequest is a request, or a part of prompts, that no host sends because it crashes endpoints.
type PoisonRequest struct {
	// Key is the key of the request, which its log lines (prefix "request:") contain as request_key, or that of the part,
	// which the lines of refused requests contain as poison_key beside the part's ID.
	Key string `json:"key"`
	// Part is set if it is a part of prompts.
	Part bool `json:"part,omitzero"`
	// Endpoints are the keys of the endpoints that crashed while running the request, in order of the crashes.
	Endpoints []string `json:"endpoints"`
	// Left is the remaining time until the verdict expires.
	Left time.Duration `json:"left"`
}

// Freshness is the possible age of a host's copy of the store's tables.
type Freshness struct {
	// Settings and Endpoints are the times since the store last confirmed, to this host or to a
	// peer, that the host's copy is complete. They are negative before the first confirmation
	// since the start.
	Settings  time.Duration `json:"settings"`
	Endpoints time.Duration `json:"endpoints"`
	// ReadsStore is set if the host reads the store for its peers and receives responses.
	ReadsStore bool `json:"reads_store,omitzero"`
}

// Problem is the body of an error response.
type Problem struct {
	Error string `json:"error"`
}

// Server serves the operators' interface.
type Server struct{ parts Parts }

// Changes accepts changes of the settings and reads accepted changes. Hosts whose settings
// are changed outside of this interface reject all changes.
type Changes interface {
	// Accept stores a change and returns its revision. The error is a *ChangeError if the
	// change was not accepted or its result is unknown.
	Accept(ctx context.Context, c settings.Change) (uint64, error)
	// Find reads an accepted change. The error is ErrChangeNotFound if there is none.
	Find(ctx context.Context, revision uint64) (settings.Change, error)
}

// Parts are the dependencies of a Server.
type Parts struct {
	Keys      []hostconfig.OperatorKey
	Counters  *counters.Counters
	Explained *explain.Ring
	Recorded  *record.Ring
	Settings  *settings.Holder
	Changes   Changes
	// Tree returns the tree in force. Its revision is 0 if none is in force yet.
	Tree   func() SettingsAnswer
	Status func() Status
	// LiftPoison lifts the verdict on a poison request on all hosts, and reports whether there was one. It is nil on hosts
	// that don't detect poison requests.
	LiftPoison func(key string) bool
}

// New returns a Server. It does not listen; see HTTP.
func New(parts Parts) *Server { return &Server{parts: parts} }

// HTTP returns the HTTP server. The account of its listener bounds heads and their times. Health, readiness and metrics
// require no key.
func (s *Server) HTTP() *http.Server {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	router.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", s.requireRole(hostconfig.RoleRead, s.showStatus)).Methods(http.MethodGet)
	router.HandleFunc("/v1/requests/{id}", s.requireRole(hostconfig.RoleRead, s.explain)).Methods(http.MethodGet)
	router.HandleFunc("/v1/settings/effective/{workspace}/{class:.+}", s.requireRole(hostconfig.RoleRead, s.effective)).Methods(http.MethodGet)
	router.HandleFunc("/v1/recorded", s.requireRole(hostconfig.RoleRead, s.showRecorded)).Methods(http.MethodGet)
	router.HandleFunc("/v1/settings", s.requireRole(hostconfig.RoleRead, s.showSettings)).Methods(http.MethodGet)
	router.HandleFunc("/v1/settings/changes/{revision:[0-9]+}", s.requireRole(hostconfig.RoleRead, s.showChange)).Methods(http.MethodGet)
	router.HandleFunc("/v1/poison/{key}", s.requireRole(hostconfig.RoleChange, s.liftPoison)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/settings/changes", s.requireRole(hostconfig.RoleChange, s.acceptChange)).Methods(http.MethodPost)
	return &http.Server{Handler: router}
}

// requireRole rejects operators whose key does not permit the role, and calls next for the others.
func (s *Server) requireRole(role hostconfig.OperatorRole, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		found := s.findKey(key)
		switch {
		case found == nil:
			httprelay.WriteJSON(w, http.StatusUnauthorized, Problem{Error: "send an operator's key as Authorization: Bearer KEY"})
		case role == hostconfig.RoleChange && found.Role != hostconfig.RoleChange:
			httprelay.WriteJSON(w, http.StatusForbidden, Problem{Error: "this key may read, not change"})
		default:
			next(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, found.Name)))
		}
	}
}

// operatorNameKey is the context key for the operator's name.
type operatorNameKey struct{}

// operatorName returns the operator's name of a request that requireRole let pass.
func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorNameKey{}).(string)
	return name
}

// findKey returns the operator key that matches, or nil. It compares all keys in constant time to prevent timing attacks.
func (s *Server) findKey(key string) *hostconfig.OperatorKey {
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

func (s *Server) liftPoison(w http.ResponseWriter, r *http.Request) {
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
