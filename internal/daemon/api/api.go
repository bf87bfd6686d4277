// Package api implements the callers' HTTP interface of oxbowslipd: chat requests in the format of
// OpenAI clients, and calls of plain services. It resolves the workspace and class of a request,
// validates it, and relays the answer. oxbowslip-front routes by host name and path instead
// (package relay).
//
// It owns an exchange for each open request; package owner runs the attempts of the exchange.
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
	"oxbowslip.dev/oxbowslip/internal/bodies"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/daemon/httpclient"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Headers of the callers' interface.
const (
	HeaderClass          = "X-Request-Class"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "X-Attempt"
	HeaderWorkspace      = "X-Workspace"
)

// Limits of calls.
const (
	// HeaderTimeout bounds the time in which a caller must send its headers, and MaxHeaderBytes their size. It admits slow
	// networks. IdleTimeout bounds the time without a call.
	HeaderTimeout  = 10 * time.Second
	MaxHeaderBytes = 32 << 10
	IdleTimeout    = time.Minute
	// maxIDLength bounds the bytes of a caller's request ID, which appears in logs and
	// explanations.
	maxIDLength = 128
)

// Claims reserves idempotency keys, so that only one of the requests with a key runs, whichever
// hosts receive them.
type Claims interface {
	// Claim reports whether the key is reserved for this request. An error means that this is not
	// known, and the request must not run.
	Claim(ctx context.Context, workspace, key, requestID string) (bool, error)
	// Release frees the key of a request that did not run.
	Release(workspace, key, requestID string)
}

// Parts are the dependencies of a Server.
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
	// Bodies is the memory for the bodies of all chat requests.
	Bodies *bodies.Budget
	// CheckReady returns the refusal if the host can't accept requests yet, or nil.
	CheckReady func() *request.Refusal
}

// Server serves callers.
type Server struct{ parts Parts }

// New returns a server of the callers' interface.
func New(parts Parts) *Server { return &Server{parts: parts} }

// HTTP returns the HTTP server. The account of its listener bounds the time of headers.
func (s *Server) HTTP() *http.Server {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/v1/chat/completions", s.handle(s.chat)).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", s.handle(s.models)).Methods(http.MethodGet)
	router.PathPrefix("/v1/services/{service}").HandlerFunc(s.handle(s.service))
	router.NotFoundHandler = s.handle(s.notFound)
	return &http.Server{
		Handler:        router,
		MaxHeaderBytes: MaxHeaderBytes,
	}
}

// caller is a call with the workspace, class and settings that apply to it.
type caller struct {
	id        string
	arrived   time.Time
	tree      *settings.Tree
	workspace string
	class     string
	policy    settings.Policy
	// key is the idempotency key reserved for the request, or "".
	key string
}

// fault describes why a call is refused before its request begins.
type fault struct {
	reason request.Reason
	detail string
	known  []string
}

// faultOf converts a refusal to a fault.
func faultOf(refusal *request.Refusal) *fault {
	return &fault{reason: refusal.Reason, detail: refusal.Detail}
}

// handle assigns an ID to each call, authenticates the caller, and writes a fault as an error
// response.
func (s *Server) handle(next func(http.ResponseWriter, *http.Request, *caller) *fault) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &caller{id: requestID(r), arrived: s.parts.Clock()}
		w.Header().Set(HeaderRequestID, c.id)
		f := s.authenticate(r, c)
		if f == nil {
			f = next(w, r, c)
		}
		if f == nil {
			return
		}
		s.parts.Counters.CountRefusal(f.reason)
		httprelay.AnswerBeforeBody(w, r, func() { writeRefusal(w, c.id, request.Refuse(f.reason, f.detail), f.known) })
	}
}

// requestID returns the caller's ID if it is safe for logs and headers, with a random suffix that
// distinguishes two requests of the same ID. Otherwise it returns a random ID.
func requestID(r *http.Request) string {
	generated := uuid.NewString()
	given := r.Header.Get(HeaderRequestID)
	if given == "" || len(given) > maxIDLength || strings.ContainsFunc(given, isInvalidIDRune) {
		return generated
	}
	return given + "." + generated[:8]
}

func isInvalidIDRune(c rune) bool {
	return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
}

func (s *Server) authenticate(r *http.Request, c *caller) *fault {
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

// classify resolves the request class and its effective settings.
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

// modelList is the response of /v1/models.
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

// modelNames returns the sorted names of the models that the workspace may call.
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

// claimKey reserves the caller's idempotency key, if the call has one.
func (s *Server) claimKey(r *http.Request, c *caller) *fault {
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

// refuse writes a refusal to a caller that has received no part of an answer. If the request did
// not run, its idempotency key is released.
func (s *Server) refuse(w http.ResponseWriter, c *caller, refusal *request.Refusal) {
	if c.key != "" && refusal.Ran == request.RanNo {
		s.parts.Claims.Release(c.workspace, c.key, c.id)
	}
	writeRefusal(w, c.id, refusal, nil)
}

// admissionRequest returns the scheduler's view of the call.
func (s *Server) admissionRequest(c *caller) admission.Request {
	p := &c.policy
	return admission.Request{
		ID: c.id, Owner: s.parts.Host, Workspace: c.workspace, Class: c.class, Tier: p.Tier, Arrived: c.arrived,
		FirstToken: p.FirstToken, BetweenTokens: p.BetweenTokens, WholeAnswer: p.WholeAnswer,
		RefuseLate: p.WhenLate == settings.LateRefuse, MaxWait: p.MaxWait, Repeatable: p.Repeatable,
		Share: p.Share, Weight: p.Weight, MaxInFlight: p.MaxInFlight, MaxWaiting: p.MaxWaiting,
		TokensPerMinute: p.TokensPerMinute, Zone: s.parts.Zone,
	}
}

// maxResumes bounds how often a stream is resumed at its engine. Resuming is meant for the rare
// broken connection, not for an endpoint whose connections keep breaking.
const maxResumes = 3

func attemptRules(p *settings.Policy) request.Rules {
	return request.Rules{Repeatable: p.Repeatable, MaxTries: p.MaxTries, MaxResumes: maxResumes}
}

// metTargets reports whether an answer met the latency targets of its class.
func metTargets(p *settings.Policy, end *owner.End, duration time.Duration) bool {
	if p.FirstToken > 0 && end.FirstToken > p.FirstToken {
		return false
	}
	if p.WholeAnswer > 0 && duration > p.WholeAnswer {
		return false
	}
	if p.BetweenTokens == 0 || end.Tokens < 2 || end.FirstToken == 0 {
		return true
	}
	mean := (duration - end.FirstToken) / time.Duration(end.Tokens-1)
	return mean <= p.BetweenTokens
}

// cacheSalt returns a salt that separates the cached prompts of workspaces in shared engines.
func cacheSalt(workspace string) string {
	sum := sha256.Sum256([]byte("oxbowslip cache " + workspace))
	return hex.EncodeToString(sum[:16])
}

func sorted(names []string) []string {
	sort.Strings(names)
	return names
}
