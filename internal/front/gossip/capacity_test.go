package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// TestHeartbeatBytes measures the slopes of docs/CAPACITY.md, and bounds them: a heartbeat
// must fit a datagram.
func TestHeartbeatBytes(t *testing.T) {
	c := qt.New(t)
	size := func(endpoints, reads, services, known int) int {
		heartbeat := Heartbeat{Incarnation: 4_000_000_000, Sequence: 70_000, Settings: 12_000, Directory: 900_000}
		for n := range endpoints {
			key := keys.OfEndpoint(fmt.Sprintf("endpoint-%d", n))
			heartbeat.Loads = append(heartbeat.Loads, EndpointLoad{Endpoint: key, Requests: 3, Tokens: 200})
		}
		for n := range reads {
			heartbeat.Holders = append(heartbeat.Holders, Holder{Prefix: keys.Prefix(4e9 - float64(n)), Endpoint: keys.OfEndpoint("e")})
		}
		for n := range services {
			heartbeat.Streams = append(heartbeat.Streams, StreamCount{Service: keys.OfService(fmt.Sprint(n)), Late: 20, All: 300})
		}
		if known >= 0 {
			heartbeat.Announcement = &Announcement{Host: "front-north-wharf-1", Address: "10.1.0.40:8229", Zone: "north-wharf", Start: time.Now().UnixNano()}
			for n := range known {
				heartbeat.Announcement.KnownAddresses = append(heartbeat.Announcement.KnownAddresses, fmt.Sprintf("10.1.0.%d:8229", n))
			}
		}
		data, err := cbor.Marshal(&heartbeat)
		c.Assert(err, qt.IsNil)
		return len(data)
	}
	// A heartbeat without an announcement knows of no address.
	const plain = -1
	empty := size(0, 0, 0, plain)
	t.Logf("empty %d B, an endpoint %d B, a read %d B, a service with streams %d B; an introduction with no address %d B, with many %d B",
		empty, (size(100, 0, 0, plain)-empty)/100, (size(0, 100, 0, plain)-empty)/100, size(0, 0, 1, plain)-empty,
		size(0, 0, 0, 0), size(0, 0, 0, manyAddresses))
	c.Check(empty < 40, qt.IsTrue)
	c.Check(size(100, 12, 4, plain) < maxDatagram, qt.IsTrue)
	c.Check(size(0, 0, 0, manyAddresses) < maxDatagram, qt.IsTrue)
}
