// Package auth signs and verifies requests between the processes of the router with
// shared keys that can be rotated without a restart.
package auth

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// signatureHeader carries "<key id> <unix milliseconds> <hex mac>".
	signatureHeader = "Crocusstep-Signature"
	// maxClockSkew is the largest accepted clock difference between two instances,
	// and thus how long a captured request can be replayed.
	maxClockSkew = 30 * time.Second
)

// Key is a shared secret with its ID.
type Key struct {
	ID     string `yaml:"id" required:"true"`
	Secret string `yaml:"secret" required:"true"`
}

// Keyring holds the active keys. Requests are signed with the first key and
// verified with any of them. A rotation adds a key after the first, then moves it
// to the front, then removes the old one.
type Keyring struct {
	mutex sync.RWMutex
	// keys holds at least one key.
	keys []Key
}

// NewKeyring returns a keyring that signs with the first key.
func NewKeyring(keys []Key) (*Keyring, error) {
	k := &Keyring{}
	return k, k.Replace(keys)
}

// Replace replaces all keys.
func (k *Keyring) Replace(keys []Key) error {
	if len(keys) == 0 {
		return fmt.Errorf("at least one key is required")
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.keys = append([]Key(nil), keys...)
	return nil
}

// Sign adds the signature header to a request with the given body.
func (k *Keyring) Sign(request *http.Request, body []byte, now time.Time) {
	k.mutex.RLock()
	key := k.keys[0]
	k.mutex.RUnlock()
	timestamp := strconv.FormatInt(now.UnixMilli(), 10)
	mac := computeMAC(key, request.Method, request.URL.RequestURI(), timestamp, body)
	request.Header.Set(signatureHeader, key.ID+" "+timestamp+" "+hex.EncodeToString(mac))
}

// Verify returns an error unless the request carries a valid signature.
func (k *Keyring) Verify(request *http.Request, body []byte, now time.Time) error {
	parts := strings.Fields(request.Header.Get(signatureHeader))
	if len(parts) != 3 {
		return fmt.Errorf("request is not signed")
	}
	key, found := k.find(parts[0])
	if !found {
		return fmt.Errorf("request is signed with an unknown key")
	}
	millis, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || now.Sub(time.UnixMilli(millis)).Abs() > maxClockSkew {
		return fmt.Errorf("signature timestamp is too old or in the future")
	}
	mac, err := hex.DecodeString(parts[2])
	expected := computeMAC(key, request.Method, request.URL.RequestURI(), parts[1], body)
	if err != nil || !hmac.Equal(mac, expected) {
		return fmt.Errorf("signature does not match")
	}
	return nil
}

func (k *Keyring) find(id string) (Key, bool) {
	k.mutex.RLock()
	defer k.mutex.RUnlock()
	for _, key := range k.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

func computeMAC(key Key, method, uri, timestamp string, body []byte) []byte {
	hash := hmac.New(sha256.New, []byte(key.Secret))
	_, _ = fmt.Fprintf(hash, "%s\n%s\n%s\n", method, uri, timestamp)
	hash.Write(body)
	return hash.Sum(nil)
}
