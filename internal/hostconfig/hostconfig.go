// Package hostconfig reads the file with one daemon's name, its addresses, its availability
// zone and where the platform is. Both programs use it, each some of its fields; everything else comes
// from the settings tree.
package hostconfig

import (
	_ "embed"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

//go:embed schema.json
var schemaText []byte

var schema = strictjson.MustCompile("host.json", schemaText)

// Host is the file of one host.
type Host struct {
	Name string `json:"name"`
	// Region is without effect; see docs/operate/setup.md.
	Region string `json:"region,omitzero"`
	Zone   string `json:"zone"`
	// Callers, Operators and Peers are addresses to listen on. Port 0 picks a
	// free port.
	Callers    string   `json:"callers"`
	Operators  string   `json:"operators"`
	Peers      string   `json:"peers,omitzero"`
	FirstPeers []string `json:"first_peers,omitzero"`
	PeerKey    string   `json:"peer_key,omitzero"`
	// Fleet is the same at all hosts of a fleet. It need only be set where they reach the store at different addresses.
	Fleet        string        `json:"fleet,omitzero"`
	Platform     Platform      `json:"platform"`
	OperatorKeys []OperatorKey `json:"operator_keys,omitzero"`
	Log          Log           `json:"log,omitzero"`
	Drain        Drain         `json:"drain,omitzero"`
	// ReadTimeout bounds how long a caller may take to send a body.
	ReadTimeout time.Duration `json:"read_timeout,omitzero"`
	// WriteTimeout bounds how long a caller may take to read what is ready.
	WriteTimeout time.Duration `json:"write_timeout,omitzero"`
	// Readiness is the address where the balancer asks whether the host takes
	// requests; Metrics is the one of the metrics. Both may be left out.
	Readiness string `json:"readiness,omitzero"`
	Metrics   string `json:"metrics,omitzero"`
	// MemoryMB is the memory that the host may use, in MB; 0 means no bound.
	MemoryMB int `json:"memory_mb,omitzero"`
	// Retries bounds the retries of all hosts together.
	Retries Retries `json:"retries,omitzero"`
	// Provider is who runs the endpoints. Without an address, there is no leader.
	Provider Provider `json:"provider,omitzero"`
}

// Task is what the leader of the hosts does with the provider.
type Task string

// The tasks.
const (
	// TaskUsage reports what the workspaces used, TaskAutoscale orders endpoints.
	TaskUsage     Task = "usage"
	TaskAutoscale Task = "autoscale"
)

// Provider is who runs the endpoints, and what one host at a time, the leader, does with it.
type Provider struct {
	Address string `json:"address"`
	// Tasks are what the leader does. One that this program does not know is left out.
	Tasks []Task `json:"tasks,omitzero"`
	// Lease is how long a host may lead without renewing its lease.
	Lease time.Duration `json:"lease,omitzero"`
	// UsageWindow is the length of a window of usage, UsageDue how long after its end the report is due.
	UsageWindow time.Duration `json:"usage_window,omitzero"`
	UsageDue    time.Duration `json:"usage_due,omitzero"`
	// FirstPart is the part of the most spot endpoints of a service that the leader orders before it knows anything
	// of the traffic.
	FirstPart float64 `json:"first_part,omitzero"`
}

// HasTask reports whether the leader does a task.
func (p *Provider) HasTask(task Task) bool { return p.Address != "" && slices.Contains(p.Tasks, task) }

// Retries bounds the retries of all hosts together at one service: in each window,
// Ratio times the first tries and Slack more.
type Retries struct {
	Ratio  float64       `json:"ratio,omitzero"`
	Slack  float64       `json:"slack,omitzero"`
	Window time.Duration `json:"window,omitzero"`
}

// Platform is where the platform's service is.
type Platform struct {
	Address string `json:"address"`
	// Poll is the mean time between two reads of the settings' head.
	Poll    time.Duration `json:"poll,omitzero"`
	Timeout time.Duration `json:"timeout,omitzero"`
}

// OperatorRole is what an operator's key allows.
type OperatorRole string

// The roles of operators.
const (
	RoleRead   OperatorRole = "read"
	RoleChange OperatorRole = "change"
)

// OperatorKey lets an operator use the operators' interface. Only its hash is
// kept.
type OperatorKey struct {
	Name   string       `json:"name"`
	SHA256 string       `json:"sha256"`
	Role   OperatorRole `json:"role"`
}

// Log is what is logged and how.
type Log struct {
	Level  string `json:"level,omitzero"`
	Format string `json:"format,omitzero"`
}

// Drain is how a planned stop goes.
type Drain struct {
	// Notice is how long the host goes on accepting after its readiness has
	// failed, for the balancer to see it.
	Notice time.Duration `json:"notice,omitzero"`
	// Limit bounds the whole stop.
	Limit time.Duration `json:"limit,omitzero"`
	// Grace is when the platform kills a host that it has told to stop. If it is
	// set, the limit lies before it.
	Grace time.Duration `json:"grace,omitzero"`
}

// gracePart is the part of the grace time for which a host lets requests finish:
// until well into the last sixth, in which cutting a request that still runs is
// nobody's fault, and with time left to end in order.
const gracePart = 0.88

// The values of what the file leaves out; the fields of Host say what they mean. A deployment sets its own.
const (
	defaultPoll         = time.Second
	defaultTimeout      = 2 * time.Second
	defaultNotice       = 2 * time.Second
	defaultLimit        = 10 * time.Minute
	defaultReadTimeout  = 30 * time.Second
	defaultWriteTimeout = 30 * time.Second
	defaultRetryRatio   = 0.1
	defaultRetrySlack   = 10
	defaultRetryWindow  = 10 * time.Second
	defaultLease        = 3 * time.Second
	defaultUsageWindow  = 5 * time.Second
	defaultUsageDue     = 10 * time.Second
	defaultFirstPart    = 0.75
)

// Load reads and checks a host's file.
func Load(path string) (Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Host{}, merry.Prepend(err, "read host settings")
	}
	return Decode(path, data)
}

// Decode checks a host's file and fills in what it leaves out. The error is a
// *strictjson.Error with every fault.
func Decode(document string, data []byte) (Host, error) {
	host, err := strictjson.Decode[Host](schema, document, data)
	if err != nil {
		return Host{}, err
	}
	return host.WithDefaults(), nil
}

// WithDefaults fills in what is left out.
func (h Host) WithDefaults() Host {
	setDefault(&h.Platform.Poll, defaultPoll)
	setDefault(&h.Platform.Timeout, defaultTimeout)
	setDefault(&h.Drain.Notice, defaultNotice)
	if h.Drain.Grace > 0 {
		setDefault(&h.Drain.Limit, time.Duration(gracePart*float64(h.Drain.Grace)))
	}
	setDefault(&h.Drain.Limit, defaultLimit)
	setDefault(&h.ReadTimeout, defaultReadTimeout)
	setDefault(&h.WriteTimeout, defaultWriteTimeout)
	setDefault(&h.Retries.Ratio, defaultRetryRatio)
	setDefault(&h.Retries.Slack, defaultRetrySlack)
	setDefault(&h.Retries.Window, defaultRetryWindow)
	if h.Provider.Address != "" {
		setDefault(&h.Provider.Lease, defaultLease)
		setDefault(&h.Provider.UsageWindow, defaultUsageWindow)
		setDefault(&h.Provider.UsageDue, defaultUsageDue)
		setDefault(&h.Provider.FirstPart, defaultFirstPart)
	}
	setDefault(&h.Log.Level, "info")
	setDefault(&h.Log.Format, "text")
	return h
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
