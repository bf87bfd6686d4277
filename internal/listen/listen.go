// Package listen opens and closes the HTTP listeners of a daemon. Both programs use it. It
// owns the listeners, and the rule by which an overloaded host closes new connections unread (overload.go); the servers'
// handlers belong to the components that created them.
package listen

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/intake"
)

// Group is a set of the HTTP servers of one daemon. Its methods are not safe for concurrent use.
type Group struct {
	log     *logrus.Entry
	servers []*http.Server
}

// New returns an empty group. It logs when a listener fails after its start.
func New(log *logrus.Entry) *Group { return &Group{log: log} }

// Start listens on an address and serves in the background. It returns the bound address,
// with the port that the system selected if the given port is 0. The account bounds what the
// connections take, and names the listener in errors and log lines. With an empty address,
// Start does not listen.
func (g *Group) Start(server *http.Server, address string, account *intake.Account) (bound string, err error) {
	return g.StartWrapped(server, address, account, Unchanged)
}

// Unchanged returns a listener as it is.
func Unchanged(listener net.Listener) net.Listener { return listener }

// StartWrapped is Start with a listener that wrap returns for the one of the address.
func (g *Group) StartWrapped(server *http.Server, address string, account *intake.Account, wrap func(net.Listener) net.Listener) (bound string, err error) {
	g.servers = append(g.servers, server)
	account.Attach(server)
	if address == "" {
		return "", nil
	}
	var config net.ListenConfig
	// Sockets of Multipath TCP lack options that bound what connections take.
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", merry.Prependf(err, "listen for %s on %s", account.Name(), address)
	}
	go g.serve(server, wrap(account.Wrap(listener)), account.Name())
	return listener.Addr().String(), nil
}

func (g *Group) serve(server *http.Server, listener net.Listener, name string) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		g.log.WithError(err).WithField("listener", name).Error("listener failed, its address is no longer served")
	}
}

// Close closes all servers and their connections immediately.
func (g *Group) Close() {
	for _, server := range g.servers {
		server.Close()
	}
}
