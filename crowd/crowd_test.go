// Package crowd starts the built program in each role and sends it crowds of clients that do not
// behave. Its tests check only what does not depend on the machine's speed: the process lives, its
// memory and descriptors stay under their bounds, and ordinary requests are answered while the crowd
// stays and after it.
package crowd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// maxRounds bounds how often a member of a crowd comes back after its connection was closed.
	maxRounds = 20
	// returnPause is the time until it comes back.
	returnPause = 100 * time.Millisecond
	// sendTimeout bounds one write of a member: a process may not read any more.
	sendTimeout = 20 * time.Second
	// patience bounds the wait for an answer to an ordinary request, which is sent again until then.
	patience = time.Minute
	// retryPause is the time between two ordinary requests.
	retryPause = 100 * time.Millisecond
	// stay is how long a crowd stays once all of it has come.
	stay = time.Second
)

// program is the path of the built program.
var program string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "crocusstep-crowd-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "crocusstep")
	if output, err := exec.Command("go", "build", "-o", program, "crocusstep").CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

// crowd is clients that all behave alike.
type crowd struct {
	testName string
	size     int
	// send sends what a member sends over a new connection.
	send func(conn net.Conn) error
	// answers is set if the members wait for a response and then send again.
	answers bool
	// deaf is set if the members read nothing.
	deaf bool
	// descriptors limits those of the process; zero means defaultDescriptors.
	descriptors int
}

// subject is the process that a crowd comes to.
type subject struct {
	*process
	// ordinary sends an ordinary request and returns an error unless it is answered.
	ordinary func(context.Context) error
	// largest sends the largest request inside the limits; nil if there is none.
	largest func(context.Context) error
	// memory is the memory of the process's machine in bytes.
	memory int64
}

// check sends a crowd to an address of a subject.
func (c crowd) check(t *testing.T, s *subject, address string) {
	t.Helper()
	s.await(t, "in calm", s.ordinary)
	if s.largest != nil {
		s.await(t, "the largest one in calm", s.largest)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := s.watch(ctx)
	var members, coming sync.WaitGroup
	for range c.size {
		members.Add(1)
		coming.Add(1)
		go func() {
			defer members.Done()
			c.member(ctx, address, coming.Done)
		}()
	}
	coming.Wait()
	s.await(t, "beside the crowd", s.ordinary)
	time.Sleep(stay)
	s.await(t, "beside the crowd that has stayed", s.ordinary)
	cancel()
	members.Wait()
	s.await(t, "after the crowd", s.ordinary)
	peak := watch()
	t.Logf("%s: %d MiB in the process, %d MiB unread in the kernel, of %d MiB; %d descriptors of %d",
		c.testName, peak.process>>20, peak.unread>>20, s.memory>>20, peak.descriptors, s.descriptors)
	assert.Assert(t, s.lives(), "the process has ended")
	assert.Check(t, peak.process+peak.unread <= s.memory, "%d bytes in the process and %d unread in the kernel, %d allowed", peak.process, peak.unread, s.memory)
	// A quarter is left for the connections that the process opens itself, and for files.
	assert.Check(t, peak.descriptors <= s.descriptors*3/4, "%d descriptors open, %d allowed", peak.descriptors, s.descriptors*3/4)
}

// await sends a request until it is answered.
func (s *subject) await(t *testing.T, when string, send func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var err error
	for ctx.Err() == nil && s.lives() {
		if err = send(ctx); err == nil {
			return
		}
		time.Sleep(retryPause)
	}
	t.Fatalf("no answer %s: %v", when, err)
}

// member is one client, which comes back when its connection is closed. It calls come once it has
// sent all for the first time.
func (c crowd) member(ctx context.Context, address string, come func()) {
	came := sync.OnceFunc(come)
	defer came()
	for range maxRounds {
		c.visit(ctx, address, came)
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnPause):
		}
	}
}

// visit sends over one connection and stays until it is closed.
func (c crowd) visit(ctx context.Context, address string, came func()) {
	defer came()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		err := c.send(conn)
		came()
		switch {
		case c.deaf:
			<-ctx.Done()
			return
		case err != nil || !c.answers:
			// It stays until the connection is closed.
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil || response.Close {
			return
		}
	}
}

// closedError is nil for the error of a write to a connection that was closed.
func closedError(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
