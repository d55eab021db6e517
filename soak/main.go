// Command soak runs relays and keepers as processes on loopback, harms them from
// outside by a seeded schedule, and checks the promises by what callers and
// endpoints see. It exits with 1 if one did not hold, and keeps the logs.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"crocusstep/platform/double"
	"crocusstep/socket"
)

const (
	// drainBound and applyBound are the users' bounds for leaving endpoints and for
	// configurations; contact is how long all must have been calm before.
	drainBound = 2500 * time.Millisecond
	applyBound = 2500 * time.Millisecond
	contact    = 4 * time.Second
	// patience is how long callers wait.
	patience = 6 * time.Second
	// parallel bounds the faults at one time.
	parallel = 3
	// spanMost bounds the time of one fault.
	spanMost = 3 * time.Second
	// recoverTime is the time in which all must be well after the last fault.
	recoverTime = 12 * time.Second
	// servedLeast is the share of requests that is then served.
	servedLeast = 0.9
)

type options struct {
	binaries string
	folder   string
	seed     uint64
	span     time.Duration
	callers  int
	timing   bool
}

func main() {
	app := kingpin.New("soak", "Harms real processes at random and checks the promises.")
	var o options
	app.Flag("binaries", "Folder with the program.").Default("bin").StringVar(&o.binaries)
	app.Flag("folder", "Folder for settings and logs.").Default("out/soak").StringVar(&o.folder)
	app.Flag("seed", "Seed of the schedule.").Default("1").Uint64Var(&o.seed)
	app.Flag("span", "How long faults go on.").Default("30s").DurationVar(&o.span)
	app.Flag("callers", "Callers at one time.").Default("12").IntVar(&o.callers)
	app.Flag("timing", "Check the bounds on time as well.").Default("true").BoolVar(&o.timing)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	broken, err := soak(o, os.Stdout)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

func soak(o options, out io.Writer) (broken int, err error) {
	if err := os.MkdirAll(o.folder, 0o700); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := newFleet(ctx, o.folder, o.binaries)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return 0, err
	}
	f.timing, f.out = o.timing, out
	if !f.awaitReady(startDeadline) {
		return 0, fmt.Errorf("the relays did not become ready; see %s", o.folder)
	}
	callers := newCallers(f, o.callers)
	callers.start(ctx)
	f.harm(rand.New(rand.NewPCG(o.seed, 0)), o.span)
	f.settle(callers)
	callers.stop()
	callers.check()
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d served, %d refused, %d promises broken\n",
		o.seed, callers.total, callers.served, callers.refused, len(f.broken))
	return len(f.broken), nil
}

// report notes that a promise did not hold.
func (f *fleet) report(format string, args ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	_, _ = fmt.Fprintf(f.out, "BROKEN %s %s\n", time.Now().Format("15:04:05.000"), text)
}

// calmSince reports whether the bounds on time have held since a moment.
func (f *fleet) calmSince(since time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.timing && f.active == 0 && f.disturbed.Before(since)
}

func (f *fleet) disturb(by int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.active += by
	f.disturbed = time.Now()
}

func (f *fleet) awaitReady(within time.Duration) bool {
	client := socket.NewClient()
	defer client.CloseIdleConnections()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range f.relays {
			if double.Ready(context.Background(), client, r.ready()) {
				ready++
			}
		}
		if ready == len(f.relays) {
			return true
		}
	}
	return false
}

// harm runs faults one after another, some at the same time.
func (f *fleet) harm(random *rand.Rand, span time.Duration) {
	var group sync.WaitGroup
	places := make(chan struct{}, parallel)
	for until := time.Now().Add(span); time.Now().Before(until); {
		chosen := faults[random.IntN(len(faults))]
		long := spanMost/8 + time.Duration(random.Int64N(int64(spanMost)))
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		places <- struct{}{}
		_, _ = fmt.Fprintf(f.out, "%s %s for %s\n", time.Now().Format("15:04:05.000"), chosen.name, long.Round(time.Millisecond))
		group.Go(func() {
			defer func() { <-places }()
			if chosen.times {
				f.disturb(1)
				defer f.disturb(-1)
			}
			if err := chosen.run(f, own, long); err != nil {
				f.report("the fault %q failed: %v", chosen.name, err)
			}
		})
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
	group.Wait()
}

// settle checks that all is well again some time after the last fault.
func (f *fleet) settle(c *callers) {
	if !f.timing {
		time.Sleep(contact)
		return
	}
	if !f.awaitReady(recoverTime) {
		f.report("not all relays are ready %s after the last fault", recoverTime)
	}
	time.Sleep(contact)
	before, served := c.counts()
	time.Sleep(2 * time.Second)
	after, servedAfter := c.counts()
	if share := float64(servedAfter-served) / float64(max(1, after-before)); share < servedLeast {
		f.report("%.2f of the requests are served after the last fault", share)
	}
}
