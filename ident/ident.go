// Package ident holds the named types for identifiers and units that the
// other packages share, so that a service name is never taken for a pool name.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// RequestID identifies one request of a caller on its whole way to the engine.
type RequestID string

// AttemptID identifies one try at serving a request; a retry has a new one.
type AttemptID string

// ServiceName names a service within its workspace.
type ServiceName string

// WorkspaceName names the customer that owns services.
type WorkspaceName string

// EndpointName names one back end.
type EndpointName string

// PoolName names a set of endpoints that serve the same purpose.
type PoolName string

// InstanceName names one machine of the platform.
type InstanceName string

// RegionName names a region.
type RegionName string

// ZoneName names an availability zone.
type ZoneName string

// Address is a host and port that a process can be dialled at.
type Address string

// IdempotencyKey identifies one non-idempotent action of a service.
type IdempotencyKey string

// Digest is a hexadecimal SHA-256 sum.
type Digest string

// TokenCount counts language-model tokens.
type TokenCount int

// ByteCount counts bytes.
type ByteCount int64

const randomIDBytes = 12

// NewRequestID returns a request id that no other process has drawn.
func NewRequestID() RequestID { return RequestID("req-" + randomHex()) }

// NewAttemptID returns an attempt id that no other process has drawn.
func NewAttemptID() AttemptID { return AttemptID("att-" + randomHex()) }

// NewNonce returns a random text for telling one's own writes from others'.
func NewNonce() string { return randomHex() }

func randomHex() string {
	buffer := make([]byte, randomIDBytes)
	_, _ = rand.Read(buffer) // crypto/rand.Read never fails since Go 1.24.
	return hex.EncodeToString(buffer)
}
