// Package auth signs and checks the orders between our own processes with
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
	// header carries "<key id> <unix milliseconds> <hex sum>".
	header = "Crocusstep-Signature"
	// maxSkew is how far the clocks of two instances may lie apart, and so how
	// long a recorded order could be played again.
	maxSkew = 30 * time.Second
)

// Key is one shared secret.
type Key struct {
	ID     string `yaml:"id" required:"true"`
	Secret string `yaml:"secret" required:"true"`
}

// Keyring holds the keys in force. The first signs, all of them verify, so a
// rotation adds a key behind the first, then moves it to the front, then
// removes the old one.
type Keyring struct {
	mutex sync.RWMutex
	// keys holds at least one key.
	keys []Key
}

// NewKeyring returns a ring of keys, of which the first signs.
func NewKeyring(keys []Key) (*Keyring, error) {
	k := &Keyring{}
	return k, k.Replace(keys)
}

// Replace puts other keys in force.
func (k *Keyring) Replace(keys []Key) error {
	if len(keys) == 0 {
		return fmt.Errorf("at least one key is needed")
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.keys = append([]Key(nil), keys...)
	return nil
}

// Sign adds the signature header to a request with the body.
func (k *Keyring) Sign(request *http.Request, body []byte, now time.Time) {
	k.mutex.RLock()
	key := k.keys[0]
	k.mutex.RUnlock()
	stamp := strconv.FormatInt(now.UnixMilli(), 10)
	sum := signature(key, request.Method, request.URL.RequestURI(), stamp, body)
	request.Header.Set(header, key.ID+" "+stamp+" "+hex.EncodeToString(sum))
}

// Verify reports why a request is not signed by one of our own processes.
func (k *Keyring) Verify(request *http.Request, body []byte, now time.Time) error {
	parts := strings.Fields(request.Header.Get(header))
	if len(parts) != 3 {
		return fmt.Errorf("the request is not signed")
	}
	key, found := k.find(parts[0])
	if !found {
		return fmt.Errorf("the request is signed with an unknown key")
	}
	millis, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || now.Sub(time.UnixMilli(millis)).Abs() > maxSkew {
		return fmt.Errorf("the signature is too old or from the future")
	}
	sum, err := hex.DecodeString(parts[2])
	expected := signature(key, request.Method, request.URL.RequestURI(), parts[1], body)
	if err != nil || !hmac.Equal(sum, expected) {
		return fmt.Errorf("the signature is wrong")
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

func signature(key Key, method, uri, stamp string, body []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key.Secret))
	_, _ = fmt.Fprintf(mac, "%s\n%s\n%s\n", method, uri, stamp)
	mac.Write(body)
	return mac.Sum(nil)
}
