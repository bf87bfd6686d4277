package intake

import (
	"time"

	"github.com/sirupsen/logrus"
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

// The parts of a host's memory that the connections of its listeners may take.
const (
	callersMemoryShare = 0.3
	otherMemoryShare   = 1.0 / 64
	// minMemory is the smallest memory of a listener, in bytes.
	minMemory = 1 << 20
)

// otherLimits are the limits of connections at listeners other than that of the callers.
var otherLimits = Limits{HeadBytes: 16 << 10, HeadTime: 10 * time.Second, IdleTime: time.Minute}

// Parts are the dependencies of Accounts.
type Parts struct {
	// Memory is the host's memory in bytes; 0 means no limit.
	Memory int64
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
	Callers, Readiness, Metrics, Operators *Account
}

// NewAccounts returns the accounts of a host.
func NewAccounts(p Parts) *Accounts {
	account := func(name string, memoryShare float64) Config {
		config := Config{
			Name: name, ReadTime: p.ReadTime, WriteTime: p.WriteTime,
			Limits: func() Limits { return otherLimits }, CountClosed: p.CountClosed,
		}
		if p.Memory > 0 {
			config.Memory = max(int64(memoryShare*float64(p.Memory)), minMemory)
		}
		return config
	}
	callers := account(Callers, callersMemoryShare)
	callers.Limits = p.CallerLimits
	// The handlers of callers bound the time of bodies themselves, and answer beyond it.
	callers.ReadTime = 0
	other := func(name string) *Account {
		return New(account(name, otherMemoryShare), p.Log, p.Clock)
	}
	return &Accounts{
		Callers: New(callers, p.Log, p.Clock), Readiness: other(Readiness), Metrics: other(Metrics), Operators: other(Operators),
	}
}

// All returns all accounts.
func (a *Accounts) All() []*Account {
	return []*Account{a.Callers, a.Readiness, a.Metrics, a.Operators}
}

// Expire closes the connections that take more time than allowed.
func (a *Accounts) Expire() {
	for _, account := range a.All() {
		account.Expire()
	}
}
