// Package peer carries messages between the hosts of oxbowslipd: from the owners of requests to
// the schedulers of shards, and their decisions back. oxbowslip-front has no schedulers; its
// hosts report loads to each other instead (package gossip).
//
// It owns one drpc stream for each pair of hosts and direction of work, encoded as CBOR. Peers
// prove to each other that they know a shared key. Messages may be lost with a link; the owner
// announces everything again on the next (package dispatch).
package peer
