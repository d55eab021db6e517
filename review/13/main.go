// Command 13 lets all keepers and relays lose power, twice, after a request has crashed three workers, and
// counts how often that request reaches workers. It exits with 1 if that is more than the rule allows.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"crocusstep/platform/double"
	"crocusstep/review/rig3"
)

const (
	folder = "review/13"
	// crashingPath is the path of the request.
	crashingPath = double.ActionPath + "crashes-its-worker"
	// interval is the time between two attempts: longer than contactMs, and the power is lost right after
	// an attempt, so that all machines are in touch at the next one.
	interval = 6 * time.Second
	// attemptsBetween is the number of attempts before each loss of power, and after the last.
	attemptsBetween = 4
	// dark is how long the power is lost.
	dark = time.Second
	// losses is how often the power is lost.
	losses = 2
	// maxRetries is how many retries may reach workers later than contactMs after the third crash.
	maxRetries = 3
)

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(trouble bool) (code int, err error) {
	d, err := rig3.NewDeployment(folder, func(w *rig3.PlainWorker) {
		w.Crashes = func(r *http.Request) bool { return r.URL.Path == crashingPath }
	})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return 2, err
	}
	clients := d.NewClients()
	for i := range 6 {
		clients.Act(fmt.Sprintf("action-%d", i), 100*time.Millisecond)
	}
	var disturbed []time.Time
	for loss := range losses + 1 {
		for n := range attemptsBetween {
			next := time.Now().Add(interval)
			clients.Send(d.Relays[n], "repeated", fmt.Sprintf("repeated-%d-%d", loss, n), crashingPath)
			if trouble && loss < losses && n == attemptsBetween-1 {
				if err := d.LosePower(dark); err != nil {
					return 2, err
				}
				disturbed = append(disturbed, time.Now().Add(-dark), time.Now())
			}
			time.Sleep(time.Until(next))
		}
	}
	clients.Stop()
	runs := d.Runs(crashingPath)
	attempts, arrivals := rig3.Retries(runs, disturbed)
	d.Record("%d runs of the request in all; actions: %d served, %d not, %d broken off by crashes",
		len(runs), clients.Served.Load(), clients.Failed.Load(), d.Broken())
	d.Record("later than %s after the third crash: %d retries reached workers %d times, %d may", rig3.ContactTime, len(attempts), arrivals, maxRetries)
	if len(attempts) > maxRetries {
		d.Record("BROKEN")
		return 1, nil
	}
	d.Record("held")
	return 0, nil
}
