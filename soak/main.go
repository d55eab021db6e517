// Command soak runs relays, keepers, entries and agents as processes on loopback, injects
// faults on a seeded schedule, and checks the router's guarantees from the requests that
// callers and endpoints record. It exits with 1 if a guarantee did not hold, and with 2 on an
// error; it keeps the logs.
package main

import (
	"context"
	"errors"
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
	// maxDrainDelay and maxApplyDelay are the required limits for the last request to a
	// leaving endpoint and for the use of a new configuration.
	maxDrainDelay = 2500 * time.Millisecond
	maxApplyDelay = 2500 * time.Millisecond
	// quietInterval is the time without disturbances after which time limits apply.
	quietInterval = 4 * time.Second
	// callerTimeout is the time that callers state; the response may be on its way for callerSlack more.
	callerTimeout = 8 * time.Second
	callerSlack   = time.Second
	// deadlineMargin is how much earlier than its caller a relay may end a stream at the deadline.
	deadlineMargin = 100 * time.Millisecond
	// maxConcurrentFaults limits the faults in progress concurrently, at a scale of 1.
	maxConcurrentFaults = 5
	// faultDurationRange sets the durations of faults: from 1/8 to 9/8 of it.
	faultDurationRange = 3 * time.Second
	// maxRecoveryTime is the time after the last fault in which relays become ready.
	maxRecoveryTime = 12 * time.Second
	// minServedShare is the share of requests that must be served after recovery.
	minServedShare = 0.9
)

type options struct {
	binaries string
	folder   string
	seed     uint64
	duration time.Duration
	callers  int
	timing   bool
	// scale multiplies the number of processes and callers.
	scale int
	// network tells runs at the same time apart.
	network int
	// planned draws only faults that excuse nothing.
	planned bool
}

func main() {
	app := kingpin.New("soak", "Injects random faults into relays, keepers, entries and agents and checks the guarantees to callers.")
	var o options
	app.Flag("binaries", "Folder with the crocusstep binary.").Default("bin").StringVar(&o.binaries)
	app.Flag("folder", "Folder for settings and logs.").Default("out/soak").StringVar(&o.folder)
	app.Flag("seed", "Seed of the fault schedule.").Default("1").Uint64Var(&o.seed)
	app.Flag("span", "Duration of the fault injection.").Default("30s").DurationVar(&o.duration)
	app.Flag("callers", "Number of concurrent callers.").Default("12").IntVar(&o.callers)
	app.Flag("timing", "Also check the time limits.").Default("true").BoolVar(&o.timing)
	app.Flag("scale", "Multiplies the number of processes and callers; 1 has 16 processes.").Default("1").IntVar(&o.scale)
	app.Flag("network", "Second number of all loopback addresses, for two runs at a time.").Default("0").IntVar(&o.network)
	app.Flag("planned", "Only stops, reloads and changes, which excuse no request without an answer.").BoolVar(&o.planned)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	violations, err := run(o, os.Stdout)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

func run(o options, out io.Writer) (violations int, err error) {
	if err := os.MkdirAll(o.folder, 0o700); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := newFleet(ctx, o)
	defer f.Close()
	if err != nil {
		return 0, err
	}
	f.out = out
	if !f.awaitReady(startTimeout * time.Duration(o.scale)) {
		return 0, fmt.Errorf("the relays did not become ready; see %s", o.folder)
	}
	if err := f.awaitOwn(ctx, startTimeout*time.Duration(o.scale)); err != nil {
		return 0, err
	}
	callers := newCallers(f, o.callers*o.scale)
	callers.start(ctx)
	own := &ownCallers{fleet: f}
	own.start(ctx)
	f.injectFaults(rand.New(rand.NewPCG(o.seed, 0)), o.duration)
	f.checkAlive()
	f.checkRecovery(callers)
	callers.stop()
	own.stop()
	if err := errors.Join(callers.check(), own.check()); err != nil {
		return 0, err
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d served, %d refused, %d promises broken\n",
		o.seed, callers.total, callers.served, callers.refused, len(f.violations))
	return len(f.violations), nil
}

// reportViolation records and prints a guarantee that did not hold.
func (f *fleet) reportViolation(format string, args ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	text := fmt.Sprintf(format, args...)
	f.violations = append(f.violations, text)
	_, _ = fmt.Fprintf(f.out, "BROKEN %s %s\n", clock(time.Now()), text)
}

// undisturbedSince reports whether the time limits have applied since a moment.
func (f *fleet) undisturbedSince(since time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.timing && f.activeDisturbances == 0 && f.disturbedAt.Before(since)
}

// note prints an event of the run.
func (f *fleet) note(format string, args ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, _ = fmt.Fprintf(f.out, "%s %s\n", clock(time.Now()), fmt.Sprintf(format, args...))
}

// addDisturbances changes the number of faults in progress that affect timing.
func (f *fleet) addDisturbances(delta int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.activeDisturbances += delta
	f.disturbedAt = time.Now()
}

func (f *fleet) awaitReady(timeout time.Duration) bool {
	client := socket.NewClient()
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range f.relays {
			if double.Ready(context.Background(), client, r.readinessAddress()) {
				ready++
			}
		}
		if ready == len(f.relays) {
			return true
		}
	}
	return false
}

// injectFaults starts random faults for the duration, and waits until all have ended.
func (f *fleet) injectFaults(rng *rand.Rand, duration time.Duration) {
	var group sync.WaitGroup
	faults := allFaults(f.planned)
	slots := make(chan struct{}, maxConcurrentFaults*f.scale)
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
		chosen := faults[rng.IntN(len(faults))]
		faultDuration := faultDurationRange/8 + time.Duration(rng.Int64N(int64(faultDurationRange)))
		// A generator for each fault keeps the schedule independent of their timing.
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		slots <- struct{}{}
		f.note("%s for %s", chosen.name, faultDuration.Round(time.Millisecond))
		group.Go(func() {
			defer func() { <-slots }()
			if chosen.affectsTiming {
				f.addDisturbances(1)
				defer f.addDisturbances(-1)
			}
			if err := chosen.inject(f, faultRNG, faultDuration); err != nil {
				f.reportViolation("the fault %q failed: %v", chosen.name, err)
			}
		})
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))) / time.Duration(f.scale))
	}
	group.Wait()
}

// checkRecovery checks that the relays are ready and serve requests again after the
// last fault.
func (f *fleet) checkRecovery(c *callers) {
	if !f.timing {
		time.Sleep(quietInterval)
		return
	}
	if !f.awaitReady(maxRecoveryTime) {
		f.reportViolation("not all relays are ready %s after the last fault", maxRecoveryTime)
	}
	time.Sleep(quietInterval)
	totalBefore, servedBefore := c.counts()
	time.Sleep(2 * time.Second)
	totalAfter, servedAfter := c.counts()
	if share := float64(servedAfter-servedBefore) / float64(max(1, totalAfter-totalBefore)); share < minServedShare {
		f.reportViolation("only a share of %.2f of the requests is served after the last fault", share)
	}
}
