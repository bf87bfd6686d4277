// Package listen opens and closes the HTTP listeners of a daemon. Both programs use it. It
// owns the listeners; the servers' handlers belong to the parts that made them.
package listen

import (
	"errors"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// Group is the HTTP servers of one daemon. Its methods must not be called at once.
type Group struct {
	log     *logrus.Entry
	servers []*http.Server
}

// New returns a group without servers. A listener that fails later is logged.
func New(log *logrus.Entry) *Group { return &Group{log: log} }

// Start listens on an address, serves in the background and returns the address with the
// port that was picked if it was 0. What names the listener in errors. An empty address
// starts nothing.
func (g *Group) Start(server *http.Server, address, what string) (bound string, err error) {
	g.servers = append(g.servers, server)
	if address == "" {
		return "", nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", merry.Prependf(err, "listen for %s on %s", what, address)
	}
	go g.serve(server, listener, what)
	return listener.Addr().String(), nil
}

func (g *Group) serve(server *http.Server, listener net.Listener, what string) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		g.log.WithError(err).WithField("listener", what).Error("listener failed")
	}
}

// Close closes all servers and their connections at once.
func (g *Group) Close() {
	for _, server := range g.servers {
		server.Close()
	}
}
