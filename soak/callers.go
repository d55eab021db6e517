package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"crocusstep/platform/double"
	"crocusstep/socket"
)

// asked is one request with what its caller saw.
type asked struct {
	attempt string
	path    string
	relay   string
	double.Response
}

// callers send requests all the time and keep what they saw.
type callers struct {
	*fleet
	count int

	mutex   sync.Mutex
	all     []asked
	total   int
	served  int
	refused int
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

func newCallers(f *fleet, count int) *callers { return &callers{fleet: f, count: count} }

var paths = []string{double.ActionPath, double.LookupPath, double.StreamPath, double.ResumePath}

func (c *callers) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	for i := range c.count {
		c.group.Go(func() { c.run(ctx, i) })
	}
	for _, r := range c.relays {
		c.group.Go(func() { c.probe(ctx, r) })
	}
}

func (c *callers) stop() {
	c.cancel()
	c.group.Wait()
}

// run sends one request after another over connections that it keeps until their
// process is gone.
func (c *callers) run(ctx context.Context, number int) {
	client := socket.NewClient()
	defer client.CloseIdleConnections()
	for turn := 0; ctx.Err() == nil; turn++ {
		a := asked{
			attempt: fmt.Sprintf("a-%d-%d", number, turn),
			path:    paths[(number+turn)%len(paths)],
			relay:   c.relays[(number+turn/16)%len(c.relays)].callers(),
		}
		limited, cancel := context.WithTimeout(context.Background(), patience+time.Second)
		a.Response = double.Call(limited, client, a.relay, a.path+"x", a.attempt, patience)
		cancel()
		c.note(a)
		time.Sleep(30 * time.Millisecond)
	}
}

func (c *callers) note(a asked) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.all = append(c.all, a)
	c.total++
	switch {
	case a.Status == http.StatusOK && a.Complete:
		c.served++
	case a.Status == http.StatusServiceUnavailable:
		c.refused++
	}
}

func (c *callers) counts() (total, served int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.total, c.served
}

// check holds every outcome against what the endpoints ran.
func (c *callers) check() {
	// What was refused must not run later either.
	time.Sleep(time.Second)
	for _, a := range c.all {
		runs := c.book.Runs(a.attempt)
		most := 1
		if a.path == double.LookupPath || a.path == double.ResumePath {
			most = 2
		}
		if len(runs) > most {
			c.report("%s %s ran at %v", a.path, a.attempt, runs)
		}
		if promised(a.Status) && len(runs) > 0 {
			c.report("%s %s was refused with %d and ran at %v", a.path, a.attempt, a.Status, runs)
		}
		if a.Status == http.StatusOK {
			c.checkAnswer(a)
		}
	}
}

func promised(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *callers) checkAnswer(a asked) {
	want := double.ResponseBody(a.attempt)
	if a.path == double.StreamPath || a.path == double.ResumePath {
		var all strings.Builder
		for id := 1; id <= double.EventsPerStream; id++ {
			all.WriteString(double.StreamEvent(a.attempt, id))
		}
		want = all.String()
	}
	switch {
	case !a.Sealed:
		c.report("%s %s succeeded without the endpoint's signature", a.path, a.attempt)
	case a.Complete && a.Body != want, !strings.HasPrefix(want, a.Body):
		c.report("%s %s got %q", a.path, a.attempt, a.Body)
	}
}

// probe asks one relay all the time which configuration it uses.
func (c *callers) probe(ctx context.Context, r *relayProcess) {
	client := socket.NewClient()
	defer client.CloseIdleConnections()
	newest, life := 0, 0
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(150 * time.Millisecond)
		c.fleet.mutex.Lock()
		version, current := c.version, r.life
		c.fleet.mutex.Unlock()
		if current != life {
			newest, life = 0, current
		}
		for _, asked := range []int{version, version - 1} {
			attempt := fmt.Sprintf("p-%s-%d-%d", r.name, turn, asked)
			limited, cancel := context.WithTimeout(context.Background(), patience)
			got := double.Call(limited, client, r.callers(), double.VersionPath(asked)+"x", attempt, patience)
			cancel()
			if got.Status != http.StatusOK || c.lifeOf(r) != life {
				continue
			}
			if asked < newest {
				c.report("%s went back from version %d to %d", r.name, newest, asked)
			}
			newest = max(newest, asked)
		}
	}
}

func (c *callers) lifeOf(r *relayProcess) int {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	return r.life
}
