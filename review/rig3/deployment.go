package rig3

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"crocusstep/platform/double"
)

// Deployment is a rig with workers of a plain and of a model service.
type Deployment struct {
	*Rig
	Workers []*PlainWorker
	// Machines holds the keepers and relays.
	Machines []*Process
}

// NewDeployment starts six relays, three workers of the plain service, and three of the model service with
// their keepers, and waits until the relays are ready and in touch. Close must be called on a
// deployment that is not nil.
func NewDeployment(folder string, prepare func(*PlainWorker)) (*Deployment, error) {
	r, err := New(Config{Folder: folder, Relays: 6})
	if r == nil {
		return nil, err
	}
	d := &Deployment{Rig: r}
	if err != nil {
		return d, err
	}
	configuration := double.Configuration(1)
	// The clients need no keys.
	delete(configuration, "tenants")
	if err := r.Store.Put("config", "main", configuration); err != nil {
		return d, err
	}
	for range 3 {
		w := r.NewPlainWorker()
		prepare(w)
		d.Workers = append(d.Workers, w)
		if err := w.Start(); err != nil {
			return d, err
		}
	}
	for i, stage := range []string{"prefill", "decode", "decode"} {
		if err := d.addModelWorker(i, stage); err != nil {
			return d, err
		}
	}
	d.Machines = append(d.Machines, r.Relays...)
	if err := d.StartMachines(); err != nil {
		return d, err
	}
	if err := r.AwaitReady(); err != nil {
		return d, err
	}
	time.Sleep(ContactTime)
	return d, nil
}

func (d *Deployment) addModelWorker(i int, stage string) error {
	host := d.NewHost()
	e := &double.Endpoint{
		Name: fmt.Sprintf("m-%d", i), Service: double.ModelService, Stage: stage, StartMillis: time.Now().UnixMilli(),
		Version: "1", Recorder: double.NewRecorder(),
	}
	if err := d.Serve(host, d.ports.worker, e); err != nil {
		return err
	}
	d.Machines = append(d.Machines, d.NewKeeper(fmt.Sprintf("keeper-%d", i), host))
	return d.Store.Register(e, net.JoinHostPort(host, strconv.Itoa(d.ports.worker)), zoneName, false)
}

// StartMachines starts all keepers and relays.
func (d *Deployment) StartMachines() error {
	for _, p := range d.Machines {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// LosePower kills all keepers and relays, and starts them again after a while.
func (d *Deployment) LosePower(dark time.Duration) error {
	for _, p := range d.Machines {
		p.Kill()
	}
	time.Sleep(dark)
	return d.StartMachines()
}

// Runs returns the runs of a path at all workers, in order of time.
func (d *Deployment) Runs(path string) []Run {
	var list []Run
	for _, w := range d.Workers {
		for _, run := range w.Runs() {
			if run.Path == path {
				list = append(list, run)
			}
		}
	}
	sortRuns(list)
	return list
}

// Broken returns how many actions were broken off by crashes of their workers.
func (d *Deployment) Broken() int {
	sum := 0
	for _, w := range d.Workers {
		sum += w.Broken()
	}
	return sum
}

// Retries returns the client attempts among the runs that reached workers later than ContactTime after
// the third crash, and the number of these runs: none if there were fewer crashes. Those that were sent by a
// machine that is not in touch are left out: all machines are, except within ContactTime after one of the
// given moments.
func Retries(runs []Run, disturbed []time.Time) (attempts map[string]bool, arrivals int) {
	const maxCrashes = 3
	attempts = map[string]bool{}
	crashes := 0
	var third time.Time
	for _, run := range runs {
		if crashes >= maxCrashes && !run.At.Before(third.Add(ContactTime)) && !isDisturbed(run.At, disturbed) {
			attempts[run.Attempt] = true
			arrivals++
		}
		if run.Crashed {
			if crashes++; crashes == maxCrashes {
				third = run.At
			}
		}
	}
	return attempts, arrivals
}

func isDisturbed(at time.Time, disturbed []time.Time) bool {
	for _, d := range disturbed {
		if !at.Before(d) && at.Before(d.Add(ContactTime)) {
			return true
		}
	}
	return false
}
