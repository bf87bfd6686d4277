// Package intake bounds what the clients of a host make it hold, in sum over all connections of a listener: the connections
// themselves with their buffers in the kernel, heads and small bodies that are being read, requests that run, and answers
// that their clients do not read. Both programs use it for all of their listeners. Larger bodies wait for memory in package
// bodies.
//
// It owns the account of each listener and closes connections once they take more than the listener's part of the memory
// or of the descriptors of the host, or take more time than the settings allow. It relies on net/http, which reads the
// requests.
package intake

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Cause is the limit for which a connection is closed. The set is closed.
type Cause string

// The causes. The values are labels of a metric and never change.
const (
	// CauseMemory and CauseDescriptors: the connections of the listener take its part of the memory or of the descriptors.
	CauseMemory      Cause = "memory"
	CauseDescriptors Cause = "descriptors"
	// CauseHeadBytes: the head of a request is longer than the limit. CauseHeadTime: it has not arrived in time.
	CauseHeadBytes Cause = "head_bytes"
	CauseHeadTime  Cause = "head_time"
	// CauseBodyTime: the body of a request has not arrived in time.
	CauseBodyTime Cause = "body_time"
	// CauseMessageBytes: a peer has sent more than a first message before it was answered.
	CauseMessageBytes Cause = "message_bytes"
	// CauseIdleTime: no request has come. CauseWriteTime: the client does not read its answer.
	CauseIdleTime  Cause = "idle_time"
	CauseWriteTime Cause = "write_time"
)

// Causes lists all causes.
var Causes = []Cause{CauseMemory, CauseDescriptors, CauseHeadBytes, CauseMessageBytes, CauseHeadTime, CauseBodyTime, CauseIdleTime, CauseWriteTime}

// What a connection and its requests take, in bytes.
const (
	// socketBufferBytes is the size of each of the two buffers of a connection in the kernel.
	socketBufferBytes = 16 << 10
	// connectionBytes is what a connection takes: a goroutine, the buffers of net/http and those of the kernel.
	connectionBytes = 12<<10 + 2*socketBufferBytes
	// headByteCost and headLineCost are what a byte and a line of a head take: a line becomes an entry of a map.
	headByteCost = 2
	headLineCost = 128
	// runningBytes is what a running request takes: goroutines, timers, and the buffers of the call to its endpoint. Its head
	// takes headCopies times its memory, since each call has a copy.
	runningBytes = 16 << 10
	headCopies   = 2
	// pendingByteCost and maxPendingBytes are what a byte of a message of a peer takes whose end has not arrived, and the most
	// that all its bytes take.
	pendingByteCost = 2
	maxPendingBytes = 8 << 20
	// maxFirstMessage is the most that a peer may send before it is answered: the messages that begin calls are small.
	maxFirstMessage = 64 << 10
)

const (
	// readerBytes is the buffer with which net/http reads heads. Longer reads are those of bodies.
	readerBytes = 4 << 10
	// headSlop is what may be read together with a head: of the body that follows it, and of the one before it.
	headSlop = 2 * readerBytes
	// minStall is how long a client must have left an answer unread before its connection may be closed for memory.
	minStall = time.Second
	// keptShare is the part of the limit, in so many, that is free after connections were closed for it: each search for
	// connections to close looks at all of them.
	keptShare = 8
)

// Limits are the limits of a connection in the settings in force.
type Limits struct {
	// HeadBytes bounds the head of a request, HeadTime the time in which it arrives, and IdleTime the time without a request.
	HeadBytes int
	HeadTime  time.Duration
	IdleTime  time.Duration
}

// Config configures the account of a listener.
type Config struct {
	// Name is the listener's name in metrics and log lines.
	Name string
	// Memory is the most that all connections take, in bytes, and Connections their largest number; 0 means no limit.
	Memory      int64
	Connections int
	// ReadTime bounds the time in which a request arrives and is decided, and WriteTime the time in which a client reads what
	// is written to it; 0 means no limit.
	ReadTime  time.Duration
	WriteTime time.Duration
	// Messages is set for listeners whose clients exchange messages of package drpc instead of requests of HTTP.
	Messages bool
	// Limits returns the limits in force. It must not block.
	Limits func() Limits
	// CountClosed counts a connection that was closed for a limit.
	CountClosed func(listener string, cause Cause)
}

// Account is what the connections of a listener take. It is safe for concurrent use.
type Account struct {
	config Config
	log    *logrus.Entry
	clock  func() time.Time

	mu          sync.Mutex
	connections map[*Conn]struct{}
	used        int64
	// closing is what evicted connections take until their owners have closed them. waiting are the connections that wait
	// until then.
	closing int64
	waiting []*Conn
	// closed counts the connections that were closed for a limit since the last log line, largest is the one that took most
	// memory.
	closed  map[Cause]int
	largest Client
}

// New returns an account without connections.
func New(config Config, log *logrus.Entry, clock func() time.Time) *Account {
	return &Account{config: config, log: log, clock: clock, connections: make(map[*Conn]struct{}), closed: make(map[Cause]int)}
}

// Used returns the memory that the connections take, in bytes, and their number.
func (a *Account) Used() (memory int64, connections int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used, len(a.connections)
}

// Name returns the listener's name.
func (a *Account) Name() string { return a.config.Name }

// Memory returns the most memory that the connections may take, in bytes; 0 means no limit.
func (a *Account) Memory() int64 { return a.config.Memory }

// add adds a connection, for which others are closed if need be. It reports false if there is no room for it.
func (a *Account) add(c *Conn) bool {
	a.mu.Lock()
	c.since = a.clock()
	a.connections[c] = struct{}{}
	a.charge(c, connectionBytes)
	victims := a.makeRoom()
	isOpen := c.closedFor == ""
	if isOpen && a.isFull() {
		// No other connection may be closed.
		victims = append(victims, a.evict(c, a.exceeded()))
		isOpen = false
	}
	a.mu.Unlock()
	reset(victims)
	return isOpen
}

// hold charges a connection for something that it makes the host hold until its next request, and closes others if need
// be. It reports false if the connection itself was closed.
func (a *Account) hold(c *Conn, bytes int64) bool {
	a.mu.Lock()
	if c.closedFor == "" {
		a.charge(c, bytes)
	}
	victims := a.makeRoom()
	isOpen := c.closedFor == ""
	a.mu.Unlock()
	reset(victims)
	a.awaitClosed(c)
	return isOpen
}

// closeTimeout bounds the wait for the owners of evicted connections.
const closeTimeout = time.Second

// awaitClosed waits while the connections and those that were evicted but that their owners have not closed yet take more
// than the limit: their memory is in use until then. It does not wait for a connection that was evicted itself.
func (a *Account) awaitClosed(c *Conn) {
	a.mu.Lock()
	if !a.isOver() || c.closedFor != "" {
		a.mu.Unlock()
		return
	}
	wake := make(chan struct{})
	c.wake = wake
	a.waiting = append(a.waiting, c)
	a.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	}
}

// endWait ends the wait of a connection. The account's lock is held.
func (c *Conn) endWait() {
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// isOver reports whether memory of evicted connections has yet to be freed. The lock is held.
func (a *Account) isOver() bool {
	return a.closing > 0 && a.config.Memory > 0 && a.used+a.closing > a.config.Memory
}

// Charge charges the account for larger bodies, which package bodies owns; negative bytes were released.
func (a *Account) Charge(bytes int64) {
	a.mu.Lock()
	a.used += bytes
	victims := a.makeRoom()
	a.mu.Unlock()
	reset(victims)
}

// charge adds bytes to what a connection takes. The lock is held.
func (a *Account) charge(c *Conn, bytes int64) {
	c.held += bytes
	a.used += bytes
}

// remove removes a connection that its owner has closed.
func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasOver := a.isOver()
	switch _, isCounted := a.connections[c]; {
	case isCounted:
		delete(a.connections, c)
		a.used -= c.held
	case c.closedFor != "":
		a.closing -= c.held
	}
	c.held = 0
	if wasOver && !a.isOver() {
		for _, waiting := range a.waiting {
			waiting.endWait()
		}
		a.waiting = nil
	}
}

// isFull reports whether the connections exceed the limits. The lock is held.
func (a *Account) isFull() bool { return a.exceeded() != "" }

// exceeded returns the limit that the connections exceed, or "". The lock is held.
func (a *Account) exceeded() Cause {
	switch {
	case a.config.Memory > 0 && a.used > a.config.Memory:
		return CauseMemory
	case a.config.Connections > 0 && len(a.connections) > a.config.Connections:
		return CauseDescriptors
	}
	return ""
}

// makeRoom evicts connections if all of them exceed a limit, until a part of it is free. Those go first that have held most
// for longest: bytes times the time since their request began, or since their last answer. So a request that arrives at
// once stays, whatever others do, and the address of a client does not matter, since all may come through one. The lock is
// held; the returned connections are to be reset without it.
func (a *Account) makeRoom() []*Conn {
	cause := a.exceeded()
	if cause == "" {
		return nil
	}
	type candidate struct {
		conn  *Conn
		score float64
	}
	now := a.clock()
	var candidates []candidate
	for c := range a.connections {
		if span, ok := c.evictable(now); ok {
			candidates = append(candidates, candidate{c, float64(c.held) * span.Seconds()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	var victims []*Conn
	for _, candidate := range candidates {
		if !a.isAboveKept() {
			break
		}
		victims = append(victims, a.evict(candidate.conn, cause))
	}
	return victims
}

// isAboveKept reports whether more connections have to go once a limit is exceeded. The lock is held.
func (a *Account) isAboveKept() bool {
	memory, connections := a.config.Memory, a.config.Connections
	return memory > 0 && a.used > memory-memory/keptShare || connections > 0 && len(a.connections) > connections-connections/keptShare
}

// evict removes a connection from the account and returns it. The lock is held.
func (a *Account) evict(c *Conn, cause Cause) *Conn {
	c.closedFor = cause
	delete(a.connections, c)
	a.used -= c.held
	a.closing += c.held
	a.recordClosed(c, cause)
	c.endWait()
	if c.cancel != nil {
		c.cancel()
	}
	return c
}

// recordClosed counts a connection that is closed for a limit. The lock is held.
func (a *Account) recordClosed(c *Conn, cause Cause) {
	a.closed[cause]++
	if c.held > a.largest.Memory {
		a.largest = c.client()
	}
	a.config.CountClosed(a.config.Name, cause)
}

// reset closes evicted connections so that the kernel frees their buffers at once. The clients see a reset.
func reset(victims []*Conn) {
	for _, c := range victims {
		c.reset()
	}
}

// Expire closes the connections that take more time than allowed, and logs what was closed since its last call.
func (a *Account) Expire() {
	now, limits := a.clock(), a.config.Limits()
	var late, idle []*Conn
	a.mu.Lock()
	for c := range a.connections {
		switch cause := a.overdue(c, now, &limits); cause {
		case "":
		case CauseIdleTime:
			idle = append(idle, a.evict(c, cause))
		default:
			late = append(late, a.evict(c, cause))
		}
	}
	memory, connections, closed, largest := a.used, len(a.connections), a.closed, a.largest
	a.closed, a.largest = make(map[Cause]int), Client{}
	a.mu.Unlock()
	reset(late)
	for _, c := range idle {
		// An error means that the client has closed it.
		_ = c.Conn.Close()
	}
	a.logClosed(memory, connections, closed, &largest)
}

// overdue returns the limit in time that a connection has exceeded, or "". The lock is held.
func (a *Account) overdue(c *Conn, now time.Time, limits *Limits) Cause {
	if stall := c.stall(now); a.config.WriteTime > 0 && stall > a.config.WriteTime {
		return CauseWriteTime
	}
	span := now.Sub(c.since)
	switch {
	case a.config.Messages:
		if !c.hasReply && limits.HeadTime > 0 && span > limits.HeadTime {
			return CauseHeadTime
		}
	case c.state == stateIdle && limits.IdleTime > 0 && span > limits.IdleTime:
		return CauseIdleTime
	case c.state == stateReceiving && !c.isHeadRead && limits.HeadTime > 0 && span > limits.HeadTime:
		return CauseHeadTime
	case c.state == stateReceiving && a.config.ReadTime > 0 && span > a.config.ReadTime:
		return CauseBodyTime
	}
	return ""
}

// logClosed logs the connections that were closed for other limits than their idle time.
func (a *Account) logClosed(memory int64, connections int, closed map[Cause]int, largest *Client) {
	delete(closed, CauseIdleTime)
	if len(closed) == 0 {
		return
	}
	limits := a.config.Limits()
	fields := logrus.Fields{
		"listener": a.config.Name, "memory": memory, "memory_limit": a.config.Memory, "connections": connections, "connections_limit": a.config.Connections,
		"head_bytes_limit": limits.HeadBytes, "head_time_ms": limits.HeadTime.Milliseconds(), "read_time_ms": a.config.ReadTime.Milliseconds(), "write_time_ms": a.config.WriteTime.Milliseconds(),
		"largest_client": largest.Address, "largest_memory": largest.Memory, "largest_state": largest.State,
	}
	for cause, count := range closed {
		fields["closed_for_"+string(cause)] = count
	}
	a.log.WithFields(fields).Warn("connections exceeded limits and were closed")
}

// Client is what the connections of a client's IP number take.
type Client struct {
	Address     string        `json:"address"`
	Connections int           `json:"connections"`
	Memory      int64         `json:"memory"`
	Oldest      time.Duration `json:"oldest"`
	// State is that of the connection that takes most.
	State State `json:"state"`
}

// Clients returns the clients that take most memory, at most count of them.
func (a *Account) Clients(count int) []Client {
	byAddress := make(map[string]*Client)
	most := make(map[string]int64)
	a.mu.Lock()
	now := a.clock()
	for c := range a.connections {
		one := c.client()
		client, ok := byAddress[one.Address]
		if !ok {
			client = &Client{Address: one.Address}
			byAddress[one.Address] = client
		}
		client.Connections++
		client.Memory += one.Memory
		client.Oldest = max(client.Oldest, now.Sub(c.since))
		if one.Memory > most[one.Address] {
			most[one.Address], client.State = one.Memory, one.State
		}
	}
	a.mu.Unlock()
	list := make([]Client, 0, len(byAddress))
	for _, client := range byAddress {
		list = append(list, *client)
	}
	slices.SortFunc(list, func(a, b Client) int {
		return cmp.Or(cmp.Compare(b.Memory, a.Memory), cmp.Compare(a.Address, b.Address))
	})
	return list[:min(count, len(list))]
}

// Wrap returns a listener whose connections belong to the account.
func (a *Account) Wrap(listener net.Listener) net.Listener {
	if err := a.boundBuffers(listener); err != nil {
		a.log.WithError(err).WithField("listener", a.config.Name).Warn("the system does not bound the buffers of connections, they may take more memory than is counted")
	}
	return &accountListener{Listener: listener, account: a}
}
