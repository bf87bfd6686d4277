// Package hostconfig reads the configuration file of one host: its name, its addresses, its availability
// zone and the address of the platform. Both programs use it; each reads some of the fields. All other
// settings come from the settings tree. It owns the format and the defaults of the file, and relies on
// package strictjson for decoding.
package hostconfig

import (
	_ "embed"
	"math"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

//go:embed schema.json
var schemaText []byte

var schema = strictjson.MustCompile("host.json", schemaText)

// Host is the configuration file of one host.
type Host struct {
	Name string `json:"name"`
	// Region has no effect; see docs/operate/setup.md.
	Region string `json:"region,omitzero"`
	Zone   string `json:"zone"`
	// Callers, Operators and Peers are addresses to listen on. Port 0 selects a
	// free port.
	Callers    string   `json:"callers"`
	Operators  string   `json:"operators"`
	Peers      string   `json:"peers,omitzero"`
	FirstPeers []string `json:"first_peers,omitzero"`
	PeerKey    string   `json:"peer_key,omitzero"`
	// Fleet identifies the fleet and is the same on all its hosts. It is only needed if the hosts reach the store at
	// different addresses.
	Fleet        string        `json:"fleet,omitzero"`
	Platform     Platform      `json:"platform"`
	OperatorKeys []OperatorKey `json:"operator_keys,omitzero"`
	Log          Log           `json:"log,omitzero"`
	Drain        Drain         `json:"drain,omitzero"`
	// ReadTimeout limits the time in which a caller has to send a body.
	ReadTimeout time.Duration `json:"read_timeout,omitzero"`
	// WriteTimeout limits the time in which a caller has to read the data that was written to it.
	WriteTimeout time.Duration `json:"write_timeout,omitzero"`
	// Readiness is the address at which the load balancer checks whether the host
	// accepts requests. Metrics is the address of the metrics. Both are optional.
	Readiness string `json:"readiness,omitzero"`
	Metrics   string `json:"metrics,omitzero"`
	// MemoryMB is the memory limit of the host, in MB; 0 means no limit.
	MemoryMB int `json:"memory_mb,omitzero"`
	// BodiesMB is the part of MemoryMB that the bodies of all requests and answers may take together, in MB. Without it,
	// it is a quarter of MemoryMB.
	BodiesMB *int `json:"bodies_mb,omitzero"`
	// MaxDescriptors is the number of descriptors that the process may have open; 0 means the limit of the system.
	MaxDescriptors int `json:"max_descriptors,omitzero"`
	// LinkMbit is the bandwidth of the host's link in Mbit/s; 0 means that it is unknown. Hosts with faster links add up
	// the work of others in a large fleet.
	LinkMbit float64 `json:"link_mbps,omitzero"`
	// Retries limits the retries of all hosts together.
	Retries Retries `json:"retries,omitzero"`
	// Provider is the provider of the endpoints. Without its address, the hosts elect no leader.
	Provider Provider `json:"provider,omitzero"`
	// Overload selects the mechanisms for services that are short of room. Only oxbowslip-front uses it.
	Overload Overload `json:"overload,omitzero"`
}

// Overload selects the mechanisms for services that are short of room. Each one is off unless it is set, and all hosts
// of a fleet should select the same ones.
type Overload struct {
	// Slots queues the calls of a busy plain service in one order for all hosts.
	Slots bool `json:"slots,omitzero"`
	// Pace learns the relative speed of each endpoint.
	Pace bool `json:"pace,omitzero"`
	// Finish refuses streams that can't end within their time limit.
	Finish bool `json:"finish,omitzero"`
	// Shares limits workspaces to their fair share of a service with engines.
	Shares bool `json:"shares,omitzero"`
}

// Task is a task that the leader of the hosts performs with the provider.
type Task string

// The tasks.
const (
	// TaskUsage reports the usage of the workspaces. TaskAutoscale orders endpoints.
	TaskUsage     Task = "usage"
	TaskAutoscale Task = "autoscale"
)

// Provider configures the provider of the endpoints and the tasks that the leader, one host at a time, performs with it.
type Provider struct {
	Address string `json:"address"`
	// Tasks are the tasks of the leader. Tasks unknown to this version of the program are ignored.
	Tasks []Task `json:"tasks,omitzero"`
	// Lease is the duration of the leader's lease without renewal.
	Lease time.Duration `json:"lease,omitzero"`
	// UsageWindow is the length of a usage window. UsageDue is the time from the end of a window until its report is due.
	UsageWindow time.Duration `json:"usage_window,omitzero"`
	UsageDue    time.Duration `json:"usage_due,omitzero"`
	// FirstPart is the fraction of a service's maximum number of spot endpoints that the leader orders before it has any
	// information about the traffic.
	FirstPart float64 `json:"first_part,omitzero"`
}

// HasTask reports whether the leader performs a task.
func (p *Provider) HasTask(task Task) bool { return p.Address != "" && slices.Contains(p.Tasks, task) }

// Retries limits the retries of all hosts together to one service. Each window allows
// Ratio times the number of first attempts, plus Slack.
type Retries struct {
	Ratio  float64       `json:"ratio,omitzero"`
	Slack  float64       `json:"slack,omitzero"`
	Window time.Duration `json:"window,omitzero"`
}

// Platform configures the connection to the platform's service.
type Platform struct {
	Address string `json:"address"`
	// Poll is the mean interval at which the newest settings revision is read.
	Poll    time.Duration `json:"poll,omitzero"`
	Timeout time.Duration `json:"timeout,omitzero"`
}

// OperatorRole is the set of operations that an operator's key permits.
type OperatorRole string

// The roles of operators.
const (
	RoleRead   OperatorRole = "read"
	RoleChange OperatorRole = "change"
)

// OperatorKey authorizes an operator for the operators' interface. Only the hash of the
// key is stored.
type OperatorKey struct {
	Name   string       `json:"name"`
	SHA256 string       `json:"sha256"`
	Role   OperatorRole `json:"role"`
}

// Log configures the log.
type Log struct {
	Level  string `json:"level,omitzero"`
	Format string `json:"format,omitzero"`
}

// Drain configures the graceful stop.
type Drain struct {
	// Notice is how long the host still accepts requests after its readiness
	// check fails, so that the load balancer can detect the failure.
	Notice time.Duration `json:"notice,omitzero"`
	// Limit limits the duration of the whole stop.
	Limit time.Duration `json:"limit,omitzero"`
	// Grace is the time after which the platform kills a host that it has told to
	// stop. If it is set, the default of Limit is shorter.
	Grace time.Duration `json:"grace,omitzero"`
}

// graceShare is the fraction of the grace time in which a host lets requests finish.
// It ends within the last sixth, in which aborting a request does not count as a
// fault of the host, and leaves time for an orderly exit.
const graceShare = 0.88

// Default values of fields that the file does not set; see the fields of Host. Deployments set their own values.
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

// Load reads and validates a host's file.
func Load(path string) (Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Host{}, merry.Prepend(err, "read host configuration")
	}
	return Decode(path, data)
}

// Decode validates a host's file and fills in the defaults. The error is a
// *strictjson.Error with all faults.
func Decode(document string, data []byte) (Host, error) {
	host, err := strictjson.Decode[Host](schema, document, data)
	if err != nil {
		return Host{}, err
	}
	if err := host.check(); err != nil {
		return Host{}, merry.Prepend(err, document)
	}
	return host.WithDefaults(), nil
}

// WithDefaults returns the configuration with the defaults of fields that are not set.
func (h Host) WithDefaults() Host {
	setDefault(&h.Platform.Poll, defaultPoll)
	setDefault(&h.Platform.Timeout, defaultTimeout)
	setDefault(&h.Drain.Notice, defaultNotice)
	if h.Drain.Grace > 0 {
		setDefault(&h.Drain.Limit, time.Duration(graceShare*float64(h.Drain.Grace)))
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

// bodyMemoryShare is the part of the host's memory that bodies may take if its file says nothing else.
const bodyMemoryShare = 0.25

// BodyBytes returns the memory that the bodies of all requests and answers may take together; 0 means no limit.
func (h *Host) BodyBytes() int64 {
	if h.BodiesMB != nil {
		return int64(*h.BodiesMB) << 20
	}
	return int64(bodyMemoryShare * float64(h.MemoryMB) * (1 << 20))
}

// MemoryBytes returns the memory of the host; 0 means no limit.
func (h *Host) MemoryBytes() int64 { return int64(h.MemoryMB) << 20 }

// check returns an error that names the field with a value out of its range.
func (h *Host) check() error {
	if h.BodiesMB == nil {
		return nil
	}
	most := h.MemoryMB
	if most == 0 {
		most = math.MaxInt32
	}
	if *h.BodiesMB < 1 || *h.BodiesMB > most {
		return merry.Errorf("bodies_mb is %d, it must be from 1 to %d", *h.BodiesMB, most)
	}
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
