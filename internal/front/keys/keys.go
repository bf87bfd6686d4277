// Package keys defines the short identifiers for endpoints, services, request classes, workspaces and prompt prefixes in
// the messages between hosts of oxbowslip-front. All hosts derive them from the names in the same way, so hosts need not
// agree on them.
//
// A key is a part of a hash. Two names with the same key share the state that is kept under it, which can only lead to
// a worse choice of endpoint. The key of a request is longer: among 100 million other requests, none is expected to
// have the same key.
package keys

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is the key of an endpoint's ID.
type Endpoint uint32

// OfEndpoint returns the key of an endpoint.
func OfEndpoint(id string) Endpoint { return Endpoint(xxhash.Sum64String(id)) }

// Service is the key of a service's name.
type Service uint32

// OfService returns the key of a service.
func OfService(name string) Service { return Service(xxhash.Sum64String(name)) }

// Class is the key of a request class's name.
type Class uint32

// OfClass returns the key of a request class.
func OfClass(name string) Class { return Class(xxhash.Sum64String(name)) }

// Workspace is the key of a workspace's name. Public calls belong to the workspace with the empty name.
type Workspace uint32

// OfWorkspace returns the key of a workspace.
func OfWorkspace(name string) Workspace { return Workspace(xxhash.Sum64String(name)) }

// Version is the key of the version of an endpoint's software. 0 stands for no or an unknown version.
type Version uint32

// OfVersion returns the key of a software version.
func OfVersion(software string) Version { return max(Version(xxhash.Sum64String(software)), 1) }

// Stream is the key of a stream that may be resumed. It is as long as that of a request, since a stream with the key of
// another may be resumed at the wrong version.
type Stream uint64

// OfStream returns the key of the stream that began with the request of an ID. Workspaces choose IDs independently.
func OfStream(workspace, id string) Stream {
	return Stream(xxhash.Sum64String(workspace + "\x00" + id))
}

// Prefix is the key of a prefix shared by prompts: the low bits of its hash.
type Prefix uint32

// Content is the key of what an endpoint is sent: the contents of a request, or a part of its prompt. A caller that sends
// the same request again, under another ID or to another host, gets the same key.
type Content uint64

// The low bits of the key of a part of a prompt have the value partMark, by which all hosts tell parts from requests. One
// request in 65,536 has it by chance, and is judged like a part.
const (
	partMask = 1<<16 - 1
	partMark = 0x9a27
)

// OfPart returns the key of a part of a workspace's prompts.
func OfPart(workspace, id string) Content {
	return Content(xxhash.Sum64String(workspace+"\x00"+id))&^partMask | partMark
}

// IsPart reports whether the key stands for a part of a prompt.
func (k Content) IsPart() bool { return k&partMask == partMark }

// String returns the key as it appears in logs.
func (k Content) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// Identity is the part of a request that its key depends on.
type Identity struct {
	// Workspace is the caller's workspace, or empty for a public call.
	Workspace string
	Method    string
	// Host is the value of the Host header, Target the request target including its query.
	Host   string
	Target string
	Body   []byte
}

// OfRequest returns the key of a request. It reads the body once and does not allocate.
func OfRequest(id *Identity) Content {
	var hash xxhash.Digest
	hash.Reset()
	for _, text := range [...]string{id.Workspace, id.Method, id.Host, id.Target} {
		// Writes to a hash never fail. The zero byte distinguishes "ab", "c" from "a", "bc".
		_, _ = hash.WriteString(text)
		_, _ = hash.Write(textSeparator[:])
	}
	_, _ = hash.Write(id.Body)
	return Content(hash.Sum64())
}

// textSeparator separates the texts of an Identity; none of them can contain it.
var textSeparator = [1]byte{0}

// MixBits spreads the bits of a hash over all bits of the result (the finalizer of MurmurHash3).
func MixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
