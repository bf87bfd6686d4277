package gossip

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// messages returns a value of each message between hosts. Every field is set and differs from the other fields of the
// message, so that moving a field changes the bytes.
func messages() map[string]any {
	return map[string]any{
		"beat": &Heartbeat{
			Incarnation: 1, Sequence: 2, Settings: 3, Directory: 4, Leaving: true, ReadsStore: false,
			Loads:     []EndpointLoad{{Endpoint: 5, Requests: 6, Tokens: 7}},
			Ejections: []Ejection{{Endpoint: 8, Left: 9 * time.Millisecond}},
			Holders:   []Holder{{Prefix: 10, Endpoint: 11}},
			Delta: &DirectoryDelta{From: 12, To: 13, Changes: []EndpointChange{
				{ID: "e1", Service: "llm", Address: "10.0.0.1:1", Zone: "a", Version: "v2", Slots: 14, Leaving: true},
				{ID: "e2", Gone: true},
			}},
			Streams: []StreamCount{{Service: 15, Late: 16, All: 17}},
			Patch:   &SettingsPatch{From: 18, To: 19, Data: []byte("patch")},
		},
		"report": &Report{
			Incarnation: 1, Sequence: 2,
			Engines: []EngineReport{{
				Service: 3, ReadRate: Figure{Value: 4, Samples: 5}, EventTime: Figure{Value: 6, Samples: 7}, EventRead: Figure{Value: 8, Samples: 9},
				Classes: []ClassDemand{{Class: 10, Requests: 11, Prompt: 12, Unread: 13, Open: 14}},
			}},
		},
		"confirmation": &Confirmation{Incarnation: 1, Topics: []TopicConfirmation{
			{Newest: 2, Revision: 3, AsOf: 4}, {Newest: 5, Revision: 6, AsOf: 7},
		}},
		"contribution": &Contribution{Incarnation: 1, Sequence: 2, WantsSums: true, Work: Work{
			Endpoints: []keys.Endpoint{3}, Requests: []int{4}, Tokens: []int{5}, Holders: []Holder{{Prefix: 6, Endpoint: 7}},
			Engines: []EngineReport{{Service: 8}},
		}},
		"zone-sum": &ZoneSum{
			Incarnation: 1, Sequence: 2, Hosts: 3, Splits: []ServiceSplit{{Service: 4, Short: 5, Long: []keys.Class{6}}}, Part: 7, Parts: 8,
			Work: Work{Endpoints: []keys.Endpoint{9}, Requests: []int{10}, Tokens: []int{11}},
		},
		"fleet-sum": &FleetSum{
			Incarnation: 1, Sequence: 2, Counted: []uint32{3}, Sequences: []uint64{4}, Decider: "host",
			Splits: []ServiceSplit{{Service: 5, Short: 6, Long: []keys.Class{7}}}, Part: 8, Parts: 9,
			Work: Work{Endpoints: []keys.Endpoint{10}, Requests: []int{11}, Tokens: []int{12}},
		},
		"changes-request":  &ChangesRequest{Directory: 1},
		"changes-response": &ChangesResponse{IsKnown: true, From: 1, To: 2, Entries: []byte{3}, States: []byte{4}},
		"envelope":         &Envelope{Incarnation: 1, Sequence: 2, Fleet: 3, Kind: 4, Body: []byte{5}},
		"beat-reading":     &Heartbeat{ReadsStore: true},
		"introduction": &Heartbeat{Incarnation: 1, Sequence: 2, Announcement: &Announcement{
			Host: "h", Address: "10.0.0.2:2", Zone: "b", Start: 3, KnownAddresses: []string{"10.0.0.3:3"}, WantReply: true, Hosts: 4,
		}},
		"confirmation-in-era": &[]TopicConfirmation{{Newest: 1, Revision: 2<<40 | 3, AsOf: 4}},
		"want":                &SyncRequest{Settings: 1, Directory: 2},
		"news":                &SyncResponse{Settings: []byte("settings"), Base: 1, Snapshot: &DirectorySnapshot{Revision: 2, Changed: 3, Entries: []byte("entries")}},
		"members": &MemberUpdates{
			Records: []Record{{Host: "h", Address: "10.0.0.2:2", Zone: "b", Incarnation: 1, Start: 2, Generation: 3, LinkMbit: 4}},
			Lost:    []LostRecord{{Host: "g", Start: 5, Generation: 6}}, PassOn: true,
		},
		"members-digest":   &MembersDigest{Sum: 1, Hosts: 2, Topics: []TopicConfirmation{{Newest: 3, Revision: 4, AsOf: 5}}},
		"members-request":  &MembersRequest{Digest: []uint64{1, 2}},
		"members-response": &MembersResponse{Updates: []byte{1}},
		"relay":            &Relay{Origin: 1, Number: 2, From: 3, To: 4, By: []uint64{5}, Datagram: []byte{6}},
		"fleet-size":       &FleetSize{Hosts: 1},
		"entries": &[]EndpointChange{
			{ID: "e1", Service: "llm", Address: "10.0.0.1:1", Zone: "a", Version: "v2", Slots: 14},
		},
	}
}

// TestGoldenMessages compares the encoded form of each message with that of older versions, and decodes theirs.
func TestGoldenMessages(t *testing.T) {
	for name, message := range messages() {
		t.Run(name, func(t *testing.T) { golden.Message(t, name, message) })
	}
}

// TestMessagesDecodeOnlyAsTheirOwnType checks that no message decodes as another: a host uses the first type as which a
// datagram decodes, and an older host has to drop types that it does not have.
func TestMessagesDecodeOnlyAsTheirOwnType(t *testing.T) {
	forms := map[string]func() any{
		"beat":         func() any { return new(Heartbeat) },
		"report":       func() any { return new(Report) },
		"confirmation": func() any { return new(Confirmation) },
	}
	for sent := range forms {
		for read, form := range forms {
			t.Run(sent+" as "+read, func(t *testing.T) {
				data, err := cbor.Marshal(messages()[sent])
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, cbor.Unmarshal(data, form()) == nil, qt.Equals, sent == read)
			})
		}
	}
}

// TestGoldenKeys pins the keys of endpoints, services and classes, the units of counts and the name of the sync call. A
// host with other values would misread its peers.
func TestGoldenKeys(t *testing.T) {
	c := qt.New(t)
	c.Check(keys.OfEndpoint("engine-1"), qt.Equals, keys.Endpoint(0x777cfdda))
	c.Check(keys.OfService("llm"), qt.Equals, keys.Service(0x76664828))
	c.Check(TokenUnit, qt.Equals, 64)
	c.Check(RequestUnit, qt.Equals, 8)
	c.Check(keys.OfClass("chat"), qt.Equals, keys.Class(xxhash.Sum64String("chat")))
	c.Check(rpcSync, qt.Equals, "oxbowslip/news")
}
