// Package settings defines the settings tree that operators edit: workspaces and request classes, which
// inherit values from their parents, and the models, services, endpoints and routes for requests. Both
// programs use it. On the users' platform the tree is derived from the platform's configuration.
//
// It owns the encoding and validation of the tree, the inheritance of values, and the revision in force
// on this host (Holder). It relies on package strictjson for decoding and does no I/O.
package settings

import (
	_ "embed"
	"time"

	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

//go:embed schema.json
var schemaText []byte

var schema = strictjson.MustCompile("settings.json", schemaText)

// Tree is one revision of the settings.
type Tree struct {
	Root       Root                 `json:"root"`
	Workspaces map[string]Workspace `json:"workspaces,omitzero"`
	Models     map[string]Model     `json:"models,omitzero"`
	Services   map[string]Service   `json:"services,omitzero"`
	Endpoints  map[string]Endpoint  `json:"endpoints,omitzero"`
	// Routes map the host name and path of a call to its class and services.
	Routes []HostRoute `json:"routes,omitzero"`
	// CallerLimits bound the connections of callers. They are not part of the file format: only oxbowslip-front uses them,
	// and its settings come from the deployment's own format.
	CallerLimits CallerLimits `json:"-"`
}

// CallerLimits bound what a caller may send, and how long it may take or stay idle; 0 means the program's default.
type CallerLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Root is the root of the tree. Every workspace can use its classes.
type Root struct {
	Values       Values           `json:"values,omitzero"`
	DefaultClass string           `json:"default_class,omitzero"`
	Classes      map[string]Class `json:"classes,omitzero"`
}

// Workspace holds the settings of one customer. It can override values of the root's
// classes and define classes of its own.
type Workspace struct {
	Values       Values `json:"values,omitzero"`
	DefaultClass string `json:"default_class,omitzero"`
	Keys         []Key  `json:"keys,omitzero"`
	// Models are the models that the workspace can call. An empty list means all.
	Models  []string         `json:"models,omitzero"`
	Classes map[string]Class `json:"classes,omitzero"`
}

// Key authorizes a caller for a workspace. Only its hash is stored.
type Key struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// Class is a request class. Classes can be nested; the name of a nested class is its
// path, such as "itinerary/express".
type Class struct {
	Values  Values           `json:"values,omitzero"`
	Classes map[string]Class `json:"classes,omitzero"`
}

// Model is a language model that endpoints serve.
type Model struct {
	Version string `json:"version,omitzero"`
	// MaxWaiting limits the number of waiting requests for the model; 0 means the
	// built-in limit.
	MaxWaiting int `json:"max_waiting,omitzero"`
}

// Service is an HTTP service behind the router.
type Service struct {
	Routes []Route `json:"routes,omitzero"`
	// MaxConnections is the number of connections that one endpoint accepts from all
	// hosts together; 0 means unknown.
	MaxConnections int `json:"max_connections,omitzero"`
	// Engine is set if the service's endpoints are engines.
	Engine *EngineShape `json:"engine,omitzero"`
	// Scaling is set if the hosts order the service's endpoints.
	Scaling *Scaling `json:"scaling,omitzero"`
}

// Scaling configures which endpoints of a service can be ordered, and their prices.
type Scaling struct {
	// Min and Max limit the number of endpoints in each zone, regular and spot together.
	Min int `json:"min,omitzero"`
	Max int `json:"max,omitzero"`
	// Boot is the time from an order until the endpoint serves requests.
	Boot time.Duration `json:"boot,omitzero"`
	// SpotPrice is the price of a spot endpoint, which the provider can reclaim, as a fraction of the price of a
	// regular one; 0 means that there are no spot endpoints. ZonePrices are the prices in each zone, in the same unit.
	SpotPrice  float64            `json:"spot_price,omitzero"`
	ZonePrices map[string]float64 `json:"zone_prices,omitzero"`
}

// EngineShape holds the properties that all engines of a service share.
type EngineShape struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots,omitzero"`
	// CacheTokens is the capacity of an engine's cache in tokens. CacheTokenBytes is the
	// size of one cached token.
	CacheTokens     int `json:"cache_tokens,omitzero"`
	CacheTokenBytes int `json:"cache_token_bytes,omitzero"`
	// EventTokens is the number of tokens in an event of a stream; 0 means unknown. It is not part of the file format:
	// only oxbowslip-front uses it, and its settings come from the deployment's own format.
	EventTokens int `json:"-"`
}

// HostRoute routes the calls with a host name and path prefix to services. The
// longest matching prefix wins.
type HostRoute struct {
	Name string `json:"name"`
	Host string `json:"host"`
	Path string `json:"path"`
	// Class is the request class of the calls.
	Class string `json:"class"`
	// Targets are the services among which calls are divided by weight.
	Targets []Target `json:"targets"`
	// Public is set if the calls need no key.
	Public bool `json:"public,omitzero"`
}

// Target is a service of a host route with its weight.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route maps the calls with a method and path prefix to a class. An empty method
// matches all methods. The longest matching prefix wins.
type Route struct {
	Method string `json:"method,omitzero"`
	Path   string `json:"path"`
	Class  string `json:"class"`
}

// EndpointState determines whether an endpoint gets new requests.
type EndpointState string

// The states of an endpoint. The empty state means StateIn.
const (
	StateIn  EndpointState = "in"
	StateOut EndpointState = "out"
)

// Role is the part of inference that an engine runs. It is accepted but has no effect.
type Role string

// The roles of an engine. The empty role means RoleServe.
const (
	RoleServe   Role = "serve"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Endpoint is one backend: an engine that serves a model, or a server of an HTTP
// service.
type Endpoint struct {
	Address string `json:"address"`
	// Region has no effect; see docs/operate/setup.md.
	Region  string        `json:"region,omitzero"`
	Zone    string        `json:"zone"`
	State   EndpointState `json:"state,omitzero"`
	Model   string        `json:"model,omitzero"`
	Service string        `json:"service,omitzero"`
	// Adapter and Role have no effect: the hosts send no orders to engines.
	Adapter string `json:"adapter,omitzero"`
	Version string `json:"version,omitzero"`
	Role    Role   `json:"role,omitzero"`
	// ChecksFences is set if the endpoint rejects orders with an outdated fencing token. It has
	// no effect: the hosts send no orders to engines.
	ChecksFences bool `json:"checks_fences,omitzero"`
	// Continues is set if the engine can continue a partial answer.
	Continues bool `json:"continues,omitzero"`
	// MaxInFlight limits the concurrent requests to the endpoint; 0 means that only
	// the learned limit applies.
	MaxInFlight int `json:"max_in_flight,omitzero"`
	// CacheTokens is the capacity of the engine's cache in tokens; 0 means unknown.
	CacheTokens int `json:"cache_tokens,omitzero"`
}

// LatePolicy determines whether a request that can't meet its target is served.
type LatePolicy string

// The policies for late requests.
const (
	LateServe  LatePolicy = "serve"
	LateRefuse LatePolicy = "refuse"
)

// Values are the values that a node of the tree sets. A nil field is inherited.
type Values struct {
	Enabled         *bool          `json:"enabled,omitzero"`
	Tier            *int           `json:"tier,omitzero"`
	Urgency         *int           `json:"urgency,omitzero"`
	FirstToken      *time.Duration `json:"first_token,omitzero"`
	BetweenTokens   *time.Duration `json:"between_tokens,omitzero"`
	WholeAnswer     *time.Duration `json:"whole_answer,omitzero"`
	WhenLate        *LatePolicy    `json:"when_late,omitzero"`
	MaxWait         *time.Duration `json:"max_wait,omitzero"`
	Repeatable      *bool          `json:"repeatable,omitzero"`
	MaxTries        *int           `json:"max_tries,omitzero"`
	RetryBudget     *float64       `json:"retry_budget,omitzero"`
	Share           *float64       `json:"share,omitzero"`
	Weight          *float64       `json:"weight,omitzero"`
	MaxInFlight     *int           `json:"max_in_flight,omitzero"`
	MaxWaiting      *int           `json:"max_waiting,omitzero"`
	TokensPerMinute *int           `json:"tokens_per_minute,omitzero"`
	MaxBodyBytes    *int           `json:"max_body_bytes,omitzero"`
	MaxAnswerTokens *int           `json:"max_answer_tokens,omitzero"`
	TimeLimit       *time.Duration `json:"time_limit,omitzero"`
	Stream          *bool          `json:"stream,omitzero"`
	Resumable       *bool          `json:"resumable,omitzero"`
	MaxPause        *time.Duration `json:"max_pause,omitzero"`
}

// Policy is the effective value of each field for one workspace and class.
// Its fields match those of Values by name.
type Policy struct {
	Enabled bool
	// Tier is the service level; 0 is the highest.
	Tier int
	// Urgency is the priority of the class within its tier; 0 is the most urgent.
	Urgency int
	// FirstToken, BetweenTokens and WholeAnswer are latency targets; 0 means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	WholeAnswer   time.Duration
	WhenLate      LatePolicy
	// MaxWait limits the time until the answer begins.
	MaxWait time.Duration
	// Repeatable is set if a request may run more than once.
	Repeatable bool
	MaxTries   int
	// RetryBudget is the number of allowed retries as a fraction of the first attempts.
	RetryBudget float64
	// Share is the guaranteed fraction of grants for the class while it has waiting
	// requests.
	Share float64
	// Weight is the weight of a workspace in dividing the capacity within a tier.
	Weight float64
	// MaxInFlight, MaxWaiting and TokensPerMinute limit the class within the workspace;
	// 0 means no limit.
	MaxInFlight     int
	MaxWaiting      int
	TokensPerMinute int
	MaxBodyBytes    int
	MaxAnswerTokens int
	// TimeLimit limits the duration of the whole request; 0 means no limit.
	TimeLimit time.Duration
	// Stream is set if answers are event streams. Resumable is set if another endpoint
	// can continue a broken stream after its last event.
	Stream    bool
	Resumable bool
	// MaxPause is the target for the time between two events; 0 means no target.
	MaxPause time.Duration
}

// defaultPolicy provides the values that the tree does not set. The latency targets are those of
// the users (docs/DEVELOPERS.md, latency).
var defaultPolicy = Policy{
	Enabled:         true,
	Tier:            2,
	FirstToken:      1300 * time.Millisecond,
	BetweenTokens:   48 * time.Millisecond,
	WhenLate:        LateServe,
	MaxWait:         time.Minute,
	Repeatable:      false,
	MaxTries:        3,
	RetryBudget:     0.1,
	Share:           0.02,
	Weight:          1,
	MaxBodyBytes:    1 << 20,
	MaxAnswerTokens: 4096,
}
