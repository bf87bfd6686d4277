// Package keys has the short names by which the hosts of oxbowslip-front refer to
// endpoints, services and prefixes of prompts in the messages between them. Every host
// derives them alike, so that they need not be agreed on.
//
// A key is a part of a hash. Two names with the same key share what is known of them,
// which can cost a worse choice of endpoint and nothing else; only the key of a request is
// so long that none of 100 million others is expected to have it.
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

// Prefix is the key of a shared part of prompts: the low bits of its hash.
type Prefix uint32

// Request is the key of what a request asks for. A caller that sends the same again, under
// another ID or at another host, has the same key.
type Request uint64

// String returns the key as logs show it.
func (k Request) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// Identity is what makes two requests the same.
type Identity struct {
	// Workspace is the caller's, or empty for a public call.
	Workspace string
	Method    string
	// Host is the value of the Host header, Target the request target with its query.
	Host   string
	Target string
	Body   []byte
}

// OfRequest returns the key of a request. It reads the body once and allocates nothing.
func OfRequest(id *Identity) Request {
	var hash xxhash.Digest
	hash.Reset()
	for _, text := range [...]string{id.Workspace, id.Method, id.Host, id.Target} {
		// Writing to a hash never fails. The zero byte keeps "ab", "c" apart from "a", "bc".
		_, _ = hash.WriteString(text)
		_, _ = hash.Write(textSeparator[:])
	}
	_, _ = hash.Write(id.Body)
	return Request(hash.Sum64())
}

// textSeparator stands between the texts of an identity; none of them can hold it.
var textSeparator = [1]byte{0}
