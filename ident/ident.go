// Package ident defines distinct types for identifiers and units, so that the
// compiler rejects, for example, a service name where a pool name is expected.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// RequestID identifies one request of a caller on its way to the engine, across
// all attempts.
type RequestID string

// AttemptID identifies one attempt to serve a request; each retry has a new one.
type AttemptID string

// ServiceName names a service within its workspace.
type ServiceName string

// WorkspaceName names the customer that owns services.
type WorkspaceName string

// EndpointName names an endpoint (a back end).
type EndpointName string

// PoolName names a pool, a set of interchangeable endpoints.
type PoolName string

// InstanceName names an instance (a machine) of the platform.
type InstanceName string

// RegionName names a region.
type RegionName string

// ZoneName names an availability zone.
type ZoneName string

// SoftwareVersion is the version of the software that an endpoint runs, empty if it is unknown.
// Versions have no order.
type SoftwareVersion string

// Address is the host:port at which a process listens.
type Address string

// IdempotencyKey identifies one non-idempotent action of a service.
type IdempotencyKey string

// Digest is a SHA-256 hash in hexadecimal.
type Digest string

// TokenCount is a number of language-model tokens.
type TokenCount int

// ByteCount is a number of bytes.
type ByteCount int64

const randomIDBytes = 12

// NewRequestID returns a random, globally unique request ID.
func NewRequestID() RequestID { return RequestID("req-" + randomHex()) }

// NewAttemptID returns a random, globally unique attempt ID.
func NewAttemptID() AttemptID { return AttemptID("att-" + randomHex()) }

// NewNonce returns a random string by which a process recognizes its own writes.
func NewNonce() string { return randomHex() }

func randomHex() string {
	buffer := make([]byte, randomIDBytes)
	_, _ = rand.Read(buffer) // crypto/rand.Read never fails since Go 1.24.
	return hex.EncodeToString(buffer)
}
