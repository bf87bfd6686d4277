package intake

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// The names of a host's listeners. They are labels of metrics and never change.
const (
	Callers   = "callers"
	Readiness = "readiness"
	Metrics   = "metrics"
	Operators = "operators"
	Peers     = "peers"
)

// Listeners lists all names.
var Listeners = []string{Callers, Readiness, Metrics, Operators, Peers}

// The parts of a host's memory and descriptors that the connections of its listeners may take. What is left of the
// descriptors is for connections to endpoints, to the store and to other hosts.
const (
	callersMemoryShare, callersDescriptorShare = 0.3, 0.5
	peersMemoryShare, peersDescriptorShare     = 0.125, 0.25
	otherMemoryShare, otherDescriptorShare     = 1.0 / 64, 1.0 / 32
	// minMemory is the smallest memory of a listener, in bytes.
	minMemory = 1 << 20
)

// otherLimits are the limits of connections at listeners other than that of the callers.
var otherLimits = Limits{HeadBytes: 16 << 10, HeadTime: 10 * time.Second, IdleTime: time.Minute}

// Parts are the dependencies of Accounts.
type Parts struct {
	// Memory is the host's memory in bytes, and Descriptors the number of its descriptors; 0 means no limit.
	Memory      int64
	Descriptors int
	// ReadTime bounds the time in which a client sends a request, and WriteTime the time in which it reads what is written to
	// it.
	ReadTime  time.Duration
	WriteTime time.Duration
	// CallerLimits returns the limits of callers' connections in force. It must not block.
	CallerLimits func() Limits
	// CountClosed counts a connection of a listener that was closed for a limit.
	CountClosed func(listener string, cause Cause)
	Log         *logrus.Entry
	Clock       func() time.Time
}

// Accounts are the accounts of a host's listeners. Each has a part of its own, so that a crowd at one listener does not
// close connections of the others.
type Accounts struct {
	Callers, Readiness, Metrics, Operators, Peers *Account
}

// NewAccounts returns the accounts of a host.
func NewAccounts(p Parts) *Accounts {
	account := func(name string, memoryShare, descriptorShare float64) Config {
		config := Config{
			Name: name, Connections: int(descriptorShare * float64(p.Descriptors)), ReadTime: p.ReadTime, WriteTime: p.WriteTime,
			Limits: func() Limits { return otherLimits }, CountClosed: p.CountClosed,
		}
		if p.Memory > 0 {
			config.Memory = max(int64(memoryShare*float64(p.Memory)), minMemory)
		}
		return config
	}
	callers := account(Callers, callersMemoryShare, callersDescriptorShare)
	callers.Limits = p.CallerLimits
	// The handlers of callers bound the time of bodies themselves, and answer beyond it.
	callers.ReadTime = 0
	peers := account(Peers, peersMemoryShare, peersDescriptorShare)
	peers.Messages = true
	other := func(name string) *Account {
		return New(account(name, otherMemoryShare, otherDescriptorShare), p.Log, p.Clock)
	}
	return &Accounts{
		Callers: New(callers, p.Log, p.Clock), Readiness: other(Readiness), Metrics: other(Metrics), Operators: other(Operators),
		Peers: New(peers, p.Log, p.Clock),
	}
}

// All returns all accounts.
func (a *Accounts) All() []*Account {
	return []*Account{a.Callers, a.Readiness, a.Metrics, a.Operators, a.Peers}
}

// Expire closes the connections that take more time than allowed.
func (a *Accounts) Expire() {
	for _, account := range a.All() {
		account.Expire()
	}
}

// Descriptors returns the number of descriptors that the process may have: the configured one, or that of the system if it
// is smaller. 0 means that neither is known.
func Descriptors(configured int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return configured
	}
	if configured == 0 {
		return int(limit.Cur)
	}
	return min(configured, int(limit.Cur))
}
