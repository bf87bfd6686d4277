// Package keys has the short names by which the hosts of oxbowslip-front refer to
// endpoints, services and prefixes of prompts in the messages between them. Every host
// derives them alike, so that they need not be agreed on.
//
// A key is a part of a hash. Two names with the same key share what is known of them,
// which can cost a worse choice of endpoint and nothing else.
package keys

import "github.com/cespare/xxhash/v2"

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
