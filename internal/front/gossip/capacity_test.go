package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// TestHeartbeatBytes measures the size of heartbeats by content, for docs/CAPACITY.md, and checks that a heartbeat fits
// a datagram.
func TestHeartbeatBytes(t *testing.T) {
	c := qt.New(t)
	size := func(endpoints, reads, known int) int {
		heartbeat := Heartbeat{Incarnation: 4_000_000_000, Sequence: 70_000, Settings: 12_000, Directory: 900_000}
		for n := range endpoints {
			key := keys.OfEndpoint(fmt.Sprintf("endpoint-%d", n))
			heartbeat.Loads = append(heartbeat.Loads, EndpointLoad{Endpoint: key, Requests: 3, Tokens: 200})
		}
		for n := range reads {
			heartbeat.Holders = append(heartbeat.Holders, Holder{Prefix: keys.Prefix(4e9 - float64(n)), Endpoint: keys.OfEndpoint("e")})
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
	// plain stands for a heartbeat without an announcement.
	const plain = -1
	empty := size(0, 0, plain)
	t.Logf("empty %d B, per endpoint %d B, per holder %d B; announcement without addresses %d B, with many %d B",
		empty, (size(100, 0, plain)-empty)/100, (size(0, 100, plain)-empty)/100, size(0, 0, 0), size(0, 0, manyAddresses))
	c.Check(empty < 40, qt.IsTrue)
	c.Check(size(100, 12, plain) < maxDatagram, qt.IsTrue)
	c.Check(size(0, 0, manyAddresses) < maxDatagram, qt.IsTrue)
}

// TestConfirmationBytes bounds the size of confirmations: a reader sends one to all hosts every two seconds.
func TestConfirmationBytes(t *testing.T) {
	c := qt.New(t)
	const days = 30 * 24 * 3_600_000
	data, err := cbor.Marshal(&Confirmation{Incarnation: 4_000_000_000, Topics: []TopicConfirmation{
		{Newest: 12_000, Revision: 900_000, AsOf: days}, {Newest: 900_000, Revision: 900_000, AsOf: days},
	}})
	c.Assert(err, qt.IsNil)
	t.Logf("%d B", len(data))
	c.Check(len(data) <= 48, qt.IsTrue)
}

// TestReportBytes bounds the size of reports: they are sent to all hosts several times a second.
func TestReportBytes(t *testing.T) {
	c := qt.New(t)
	size := func(classes int) int {
		engines := EngineReport{
			Service:  keys.OfService("llm"),
			ReadRate: Figure{Value: 41.3, Samples: 100}, EventTime: Figure{Value: 20.7, Samples: 100}, EventRead: Figure{Value: 201.9, Samples: 100},
		}
		for n := range classes {
			engines.Classes = append(engines.Classes, ClassDemand{Class: keys.OfClass(fmt.Sprint(n)), Requests: 300, Prompt: 5000, Unread: 900, Open: 20})
		}
		report := Report{Incarnation: 4_000_000_000, Sequence: 70_000, Engines: []EngineReport{engines}}
		data, err := cbor.Marshal(&report)
		c.Assert(err, qt.IsNil)
		return len(data)
	}
	empty := size(0)
	t.Logf("empty %d B, per class %d B", empty, (size(100)-empty)/100)
	c.Check(empty < 50, qt.IsTrue)
	c.Check(size(12) < maxDatagram, qt.IsTrue)
}
