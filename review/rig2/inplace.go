package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// playInPlace plays the case of a service whose workers are restarted one after the other, under their
// ids, with newer software.
func playInPlace(s *system, trouble bool) error {
	const (
		steady  = 18 * time.Second
		streams = 48
		pause   = 900 * time.Millisecond
		gap     = time.Second
	)
	s.store.put("config", "main", inPlaceConfiguration())
	zones := []string{"yard-a", "yard-b", "yard-c"}
	var workers []*worker
	for i := range 4 {
		config := workerConfig{
			id: fmt.Sprintf("i-digest-%d", i+1), service: "digest", version: "1.4", zone: zones[i%len(zones)],
			slots: engineSlots, events: 100, interval: 80 * time.Millisecond,
		}
		w, err := s.addWorker(config, i+1)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	for i := range 3 {
		config := workerConfig{id: fmt.Sprintf("i-reader-%d", i+1), service: "packet-reader", version: "1", stage: "prefill", zone: zones[i], slots: engineSlots}
		if _, err := s.addWorker(config, i+1); err != nil {
			return err
		}
	}
	var relays []*node
	for i := range 6 {
		n, err := s.addRelay(i+1, zones[i%len(zones)])
		if err != nil {
			return err
		}
		relays = append(relays, n)
	}
	s.note("all relays are ready; steady state for %s", steady)
	time.Sleep(steady)
	var clients []*reader
	var wait sync.WaitGroup
	for i := range streams {
		c := &reader{system: s, path: fmt.Sprintf("/packets/%d", i+1)}
		for j := range relays {
			c.relays = append(c.relays, fmt.Sprintf("%s:%d", relays[(i+j)%len(relays)].ip, s.ports.front))
		}
		clients = append(clients, c)
		wait.Go(c.read)
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		for i, w := range workers {
			began := time.Now()
			s.note("%s is restarted with newer software", w.id)
			if _, err := w.restart(pause, "1.5"); err != nil {
				return err
			}
			s.note("%s is back", w.id)
			if i < len(workers)-1 {
				sleepUntil(began.Add(gap))
			}
		}
	}
	wait.Wait()
	return judgeStreams(s, clients)
}

// judgeStreams checks that no stream that has ended as complete is joined from two texts.
func judgeStreams(s *system, clients []*reader) error {
	complete, takenUp, joined := 0, 0, 0
	for _, c := range clients {
		versions := c.versions()
		if c.takeUps > 0 {
			takenUp++
		}
		if c.complete {
			complete++
		}
		if c.complete && len(versions) > 1 {
			joined++
		}
		s.note("%s: complete %t, %d events, taken up %d times, software in this order: %v", c.path, c.complete, len(c.events), c.takeUps, versions)
	}
	s.note("%d streams, %d taken up, %d complete, %d of these joined from two versions", len(clients), takenUp, complete, joined)
	switch {
	case joined > 0:
		return fmt.Errorf("%w: ORDER: %d complete streams are joined from the texts of two versions", errBroken, joined)
	case complete == 0:
		return errors.New("no stream was complete, so that nothing was tested")
	}
	return nil
}

func inPlaceConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "packets", "host": host, "pathPrefix": "/packets/", "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900,
			"gapTargetMs": 300, "priority": 1, "maxAttempts": 2, "resumable": true, "sticky": true, "service": "digest",
		}},
		"services": []any{
			map[string]any{"name": "digest", "maxConns": 370},
			map[string]any{"name": "packet-reader", "maxConns": 370, "engine": map[string]any{"slots": engineSlots, "kvTokenCapacity": engineCapacity, "kvHoldS": 0.5, "stride": tokensPerEvent}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
