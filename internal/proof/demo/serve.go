package demo

import (
	"fmt"
	"io"
	"slices"
)

// PrintAddresses prints the addresses and keys of a cluster, and a curl command that sends a request to it.
func PrintAddresses(w io.Writer, c *Cluster) {
	hosts := c.Hosts()
	for i, host := range hosts {
		fmt.Fprintf(w, "host-%d  callers http://%s  operators http://%s\n", i+1, host.Daemon.CallersAddress(), host.Daemon.OperatorsAddress())
	}
	names := make([]string, 0, len(c.Engines))
	for name := range c.Engines {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s  engine http://%s\n", name, c.Engines[name].Address())
	}
	fmt.Fprintf(w, "platform  http://%s\n", c.Platform.Address())
	fmt.Fprintf(w, "caller's key %s, operator's key %s\n", CallerKey("towpath-hire"), OperatorKey)
	fmt.Fprintf(w, "\ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		`-d '{"model":"voyage","stream":true,"messages":[{"role":"user","content":"When does the lock open?"}]}'`+"\n",
		hosts[0].Daemon.CallersAddress(), CallerKey("towpath-hire"))
}
