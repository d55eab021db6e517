package intake

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/memnet"
)

const budgetSize = 1 << 20

// namedShare returns a share that records its name when it is dropped.
func namedShare(b *Budget, dropped *[]string, name string) *share {
	var s *share
	s = b.newShare(func() {
		*dropped = append(*dropped, name)
		// Its reader is woken and returns what it holds.
		go s.end()
	})
	return s
}

// TestBudgetOrder guards against a crowd of incomplete requests that keeps others out, and against
// complete requests that are lost to incomplete ones.
func TestBudgetOrder(t *testing.T) {
	scenarios := []struct {
		testName string
		// run takes shares; the last take must have the error.
		run     func(take func(name string, size int64, complete bool) error) error
		err     error
		dropped string
	}{
		{"the largest of equal age yields", func(take func(string, int64, bool) error) error {
			return errors.Join(take("a", 300<<10, false), take("b", 400<<10, false), take("c", 200<<10, false))
		}, nil, "b"},
		{"an older one yields to a new one that is larger", func(take func(string, int64, bool) error) error {
			first := take("old", 200<<10, false)
			time.Sleep(10 * time.Second)
			return errors.Join(first, take("new", 700<<10, false))
		}, nil, "old"},
		{"the request itself yields if it is the worst", func(take func(string, int64, bool) error) error {
			first := take("a", 400<<10, false)
			return errors.Join(first, take("b", 500<<10, false))
		}, ErrOverloaded, "b"},
		{"a complete one does not yield", func(take func(string, int64, bool) error) error {
			first := take("complete", 600<<10, true)
			time.Sleep(time.Second)
			return errors.Join(first, take("new", 300<<10, true))
		}, ErrOverloaded, "new"},
		{"small ones have a part that large ones leave", func(take func(string, int64, bool) error) error {
			return errors.Join(take("large", 768<<10, true), take("small", 64<<10, true), take("another", 64<<10, true))
		}, nil, ""},
		{"what never fits is too large", func(take func(string, int64, bool) error) error {
			return take("a", budgetSize, false)
		}, errTooLarge, ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var dropped []string
				b := NewBudget(budgetSize, nil)
				err := s.run(func(name string, size int64, complete bool) error {
					share := namedShare(b, &dropped, name)
					err := share.take(size)
					if complete && err == nil {
						err = share.finish()
					}
					return err
				})
				if s.err == nil {
					assert.NilError(t, err)
				} else {
					assert.ErrorIs(t, err, s.err)
				}
				assert.Equal(t, strings.Join(dropped, " "), s.dropped)
				assert.Assert(t, b.used <= b.size)
			})
		})
	}
}

// TestDroppedRequestIsRefused checks that the body which has stayed incomplete for longest yields to a
// new one, that its caller is told, and that all memory is free at the end.
func TestDroppedRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		budget := NewBudget(budgetSize, nil)
		s := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := ReadBody(w, r, budgetSize); errors.Is(err, ErrOverloaded) {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})})
		s.Budget = budget
		go func(l net.Listener) { _ = s.Serve(l) }(network.Listen("relay", address))
		begin := func(body int) net.Conn {
			c, err := network.Dialer("caller")(t.Context(), "tcp", address)
			assert.NilError(t, err)
			_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n"+strings.Repeat("b", body))
			assert.NilError(t, err)
			return c
		}
		crowd := begin(399_999)
		time.Sleep(time.Second)
		ordinary := begin(400_000)
		for c, status := range map[net.Conn]int{crowd: http.StatusServiceUnavailable, ordinary: http.StatusOK} {
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, status)
			_ = c.Close()
		}
		synctest.Wait()
		assert.NilError(t, s.Close())
		assert.Equal(t, budget.used, int64(0))
		assert.Equal(t, len(budget.shares), 0)
	})
}

// TestReadBody checks bodies of any framing against the limit.
func TestReadBody(t *testing.T) {
	const limit = 100_000
	for _, size := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1, limit, limit + 1, 2 * limit} {
		for _, isChunked := range []bool{false, true} {
			text := strings.Repeat("b", size)
			r, err := http.NewRequest(http.MethodPost, "/", strings.NewReader(text))
			assert.NilError(t, err)
			if isChunked {
				r.ContentLength = -1
			}
			data, err := ReadBody(nil, r, limit)
			if size > limit {
				var tooLarge *http.MaxBytesError
				assert.Assert(t, errors.As(err, &tooLarge), "%d: %v", size, err)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, string(data), text)
		}
	}
}
