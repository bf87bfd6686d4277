// Package api is the callers' interface of oxbowslipd: chat requests as OpenAI clients send them, and
// calls of plain services. It finds the workspace and class of a request, checks it, and relays the
// answer. oxbowslip-front routes by host name and path instead (package relay).
//
// It owns one exchange for each open request; package owner leads it through its attempts.
package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/daemon/httpclient"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// The headers of the callers' interface.
const (
	HeaderClass          = "X-Request-Class"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "X-Attempt"
	HeaderWorkspace      = "X-Workspace"
)

// The limits of calls.
const (
	// readHeaderTime bounds how long a caller may send its headers: slow networks pass, idle
	// connections that hold memory do not.
	readHeaderTime = 10 * time.Second
	// maxHeaderBytes bounds the headers of a call in memory.
	maxHeaderBytes = 32 << 10
	// maxIDLength bounds a caller's request ID in bytes, which stands in logs and explanations.
	maxIDLength = 128
)

// Claims reserves an idempotency key for one request, so that no other host runs
// the same.
type Claims interface {
	// Claim reports whether the key is this request's. An error means that
	// nothing is known; the request must not run then.
	Claim(ctx context.Context, workspace, key, requestID string) (bool, error)
	// Release frees the key of a request whose request did not run.
	Release(workspace, key, requestID string)
}

// Parts are what a server works with.
type Parts struct {
	// Host and Zone are this host's name and availability zone.
	Host     string
	Zone     string
	Settings *settings.Holder
	Owner    *owner.Owner
	Client   *httpclient.Client
	Counters *counters.Counters
	Claims   Claims
	Recorded *record.Ring
	Clock    func() time.Time
	Timeouts httprelay.Timeouts
	// CheckReady returns the refusal for a host that can't take requests yet, or nil.
	CheckReady func() *request.Refusal
}

// Server answers callers.
type Server struct{ parts Parts }

// New returns the callers' server.
func New(parts Parts) *Server { return &Server{parts: parts} }

// HTTP returns the HTTP server, with the limits on what a caller may send.
func (s *Server) HTTP() *http.Server {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/v1/chat/completions", s.handle(s.chat)).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", s.handle(s.models)).Methods(http.MethodGet)
	router.PathPrefix("/v1/services/{service}").HandlerFunc(s.handle(s.service))
	router.NotFoundHandler = s.handle(s.notFound)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: readHeaderTime,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
}

// caller is a request with what was found out about its sender.
type caller struct {
	id        string
	arrived   time.Time
	tree      *settings.Tree
	workspace string
	class     string
	policy    settings.Policy
	// key is the idempotency key that the request holds, or empty.
	key string
}

// fault is a refusal before the request has begun.
type fault struct {
	reason request.Reason
	detail string
	known  []string
}

// faultOf turns a refusal into a fault.
func faultOf(refusal *request.Refusal) *fault {
	return &fault{reason: refusal.Reason, detail: refusal.Detail}
}

// handle assigns each request its ID, checks the key and the class, and turns a
// fault into an answer.
func (s *Server) handle(next func(http.ResponseWriter, *http.Request, *caller) *fault) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &caller{id: requestID(r), arrived: s.parts.Clock()}
		w.Header().Set(HeaderRequestID, c.id)
		f := s.identify(r, c)
		if f == nil {
			f = next(w, r, c)
		}
		if f == nil {
			return
		}
		s.parts.Counters.CountRefusal(f.reason)
		writeRefusal(w, c.id, request.Refuse(f.reason, f.detail), f.known)
	}
}

// requestID returns the caller's ID if it is fit for logs and headers, and makes
// one otherwise. The router adds its own part, so that two callers with the
// same ID are not mixed up.
func requestID(r *http.Request) string {
	own := uuid.NewString()
	given := r.Header.Get(HeaderRequestID)
	if given == "" || len(given) > maxIDLength || strings.ContainsFunc(given, notPlain) {
		return own
	}
	return given + "." + own[:8]
}

func notPlain(c rune) bool {
	return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
}

func (s *Server) identify(r *http.Request, c *caller) *fault {
	if refusal := s.parts.CheckReady(); refusal != nil {
		return faultOf(refusal)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return &fault{reason: request.ReasonUnknownKey, detail: "send the key as Authorization: Bearer KEY"}
	}
	c.tree = s.parts.Settings.Current().Tree
	c.workspace, ok = c.tree.WorkspaceOf(strings.TrimSpace(key))
	if !ok {
		return &fault{reason: request.ReasonUnknownKey, detail: "this key belongs to no workspace"}
	}
	return nil
}

// classify finds the class and its effective settings.
func (c *caller) classify(class string) *fault {
	if class == "" {
		class = c.tree.DefaultClass(c.workspace)
	}
	policy, ok := c.tree.Effective(c.workspace, class)
	if !ok {
		return &fault{
			reason: request.ReasonUnknownClass,
			detail: "this workspace has no such request class; name one in " + HeaderClass,
			known:  c.tree.ClassNames(c.workspace),
		}
	}
	c.class, c.policy = class, policy
	return nil
}

func (s *Server) notFound(_ http.ResponseWriter, r *http.Request, _ *caller) *fault {
	return &fault{
		reason: request.ReasonUnknownService,
		detail: "no such path: " + r.Method + " " + r.URL.Path,
		known:  []string{"POST /v1/chat/completions", "GET /v1/models", "/v1/services/SERVICE/..."},
	}
}

// modelList is the answer of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, c *caller) *fault {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, name := range c.modelNames() {
		list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: "oxbowslip"})
	}
	httprelay.WriteJSON(w, http.StatusOK, list)
	return nil
}

// modelNames lists the models that the workspace may call, sorted.
func (c *caller) modelNames() []string {
	var names []string
	for name := range c.tree.Models {
		if c.tree.CanCall(c.workspace, name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// claim reserves the caller's idempotency key, if it sent one.
func (s *Server) claim(r *http.Request, c *caller) *fault {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return nil
	}
	if len(key) > maxIDLength {
		return &fault{reason: request.ReasonBadRequest, detail: "the idempotency key is too long"}
	}
	won, err := s.parts.Claims.Claim(r.Context(), c.workspace, key, c.id)
	switch {
	case err != nil:
		return &fault{reason: request.ReasonClaimsAway, detail: "the idempotency key can't be checked now; nothing ran"}
	case !won:
		return &fault{reason: request.ReasonKeyUsed, detail: "a request with this idempotency key was accepted before; this one did not run"}
	}
	c.key = key
	return nil
}

// refuse answers a request of which nothing was sent to the caller. If it did
// not run, its idempotency key is free again.
func (s *Server) refuse(w http.ResponseWriter, c *caller, refusal *request.Refusal) {
	if c.key != "" && refusal.Ran == request.RanNo {
		s.parts.Claims.Release(c.workspace, c.key, c.id)
	}
	writeRefusal(w, c.id, refusal, nil)
}

// scheduleRequest fills in what the scheduler needs to know.
func (s *Server) scheduleRequest(c *caller) admission.Request {
	p := &c.policy
	return admission.Request{
		ID: c.id, Owner: s.parts.Host, Workspace: c.workspace, Class: c.class, Tier: p.Tier, Arrived: c.arrived,
		FirstToken: p.FirstToken, BetweenTokens: p.BetweenTokens, WholeAnswer: p.WholeAnswer,
		RefuseLate: p.WhenLate == settings.LateRefuse, MaxWait: p.MaxWait, Repeatable: p.Repeatable,
		Share: p.Share, Weight: p.Weight, MaxInFlight: p.MaxInFlight, MaxWaiting: p.MaxWaiting,
		TokensPerMinute: p.TokensPerMinute, Zone: s.parts.Zone,
	}
}

// maxResumes bounds how often one stream is resumed at its engine: a connection that breaks more often is not the
// exception for which resuming is there.
const maxResumes = 3

func rules(p *settings.Policy) request.Rules {
	return request.Rules{Repeatable: p.Repeatable, MaxTries: p.MaxTries, MaxResumes: maxResumes}
}

// attained reports whether an answer met its class's targets.
func attained(p *settings.Policy, end *owner.End, whole time.Duration) bool {
	if p.FirstToken > 0 && end.FirstToken > p.FirstToken {
		return false
	}
	if p.WholeAnswer > 0 && whole > p.WholeAnswer {
		return false
	}
	if p.BetweenTokens == 0 || end.Tokens < 2 || end.FirstToken == 0 {
		return true
	}
	mean := (whole - end.FirstToken) / time.Duration(end.Tokens-1)
	return mean <= p.BetweenTokens
}

// cacheSalt keeps the workspaces' cached prompts apart in shared engines.
func cacheSalt(workspace string) string {
	sum := sha256.Sum256([]byte("oxbowslip cache " + workspace))
	return hex.EncodeToString(sum[:16])
}

func sorted(names []string) []string {
	sort.Strings(names)
	return names
}
