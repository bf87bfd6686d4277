// Package peer carries messages between the hosts of oxbowslipd: from the owners of requests to the
// schedulers of shards, and decisions back. oxbowslip-front has no schedulers; its hosts report
// loads to each other instead (package gossip).
//
// It owns a drpc stream for each ordered pair of hosts, owner to scheduler, with frames encoded as
// CBOR. Peers authenticate each other with a shared key. Messages may be lost with a link; the
// owner announces all its requests again on the next link (package dispatch).
package peer
