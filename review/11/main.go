// Command 11 sends a request that crashes each worker which has begun to answer it, again and again, and
// counts how often it reaches workers. It exits with 1 if that is more than the rule allows.
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
	folder = "review/11"
	// crashingPath is the path of the request.
	crashingPath = double.LookupPath + "crashes-its-worker"
	// pause is the time between an answer and the next attempt.
	pause = time.Second
	// duration is how long the request is sent.
	duration = 30 * time.Second
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
		w.AnswerBegins = true
		w.Crashes = func(r *http.Request) bool { return trouble && r.URL.Path == crashingPath }
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
	clients.Repeat("repeated", crashingPath, 0, 0, pause)
	time.Sleep(duration)
	clients.Stop()
	runs := d.Runs(crashingPath)
	attempts, arrivals := rig3.Retries(runs, nil)
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
