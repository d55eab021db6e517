package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// playSplit plays the case of a route of resumable streams that the operator has split between two
// services with different software, while one of three relays is killed.
func playSplit(s *system, trouble bool) error {
	const (
		steady  = 20 * time.Second
		streams = 32
	)
	// VARIANT is "move" for a route that moves from one service to the other, or "crash" for a crash of
	// a worker in place of the kill, with a single attempt.
	variant := os.Getenv("VARIANT")
	blue, attempts := 90, 2
	switch variant {
	case "move":
		blue = 100
	case "crash":
		attempts = 1
	}
	s.store.put("config", "main", splitConfiguration(3, blue, attempts))
	zones := []string{"yard-a", "yard-b", "yard-c"}
	index := 0
	var workers []*worker
	for _, service := range []struct{ name, version string }{{"reader-blue", "1.4"}, {"reader-green", "1.5"}} {
		for i, stage := range []string{"prefill", "decode", "decode"} {
			index++
			config := workerConfig{
				id: fmt.Sprintf("i-%s-%d", service.name, i+1), service: service.name, version: service.version, stage: stage, zone: zones[i],
				slots: engineSlots, events: 100, interval: 80 * time.Millisecond,
			}
			w, err := s.addWorker(config, index)
			if err != nil {
				return err
			}
			workers = append(workers, w)
		}
	}
	var relays []*node
	for i, zone := range zones {
		n, err := s.addRelay(i+1, zone)
		if err != nil {
			return err
		}
		relays = append(relays, n)
	}
	s.note("all relays are ready; steady state for %s", steady)
	time.Sleep(steady)

	addresses := func(first int) (list []string) {
		for i := range relays {
			list = append(list, fmt.Sprintf("%s:%d", relays[(first+i)%len(relays)].ip, frontPort))
		}
		return list
	}
	var clients []*reader
	var wait sync.WaitGroup
	began := time.Now()
	for i := range streams {
		c := &reader{system: s, path: fmt.Sprintf("/packets/%d", i+1), relays: addresses(0)}
		clients = append(clients, c)
		wait.Go(c.read)
		time.Sleep(40 * time.Millisecond)
	}
	if variant == "move" {
		sleepUntil(began.Add(2 * time.Second))
		s.store.put("config", "main", splitConfiguration(5, 0, attempts))
		s.note("a configuration moves the route to the other service")
	}
	switch {
	case trouble && variant == "crash":
		sleepUntil(began.Add(4 * time.Second))
		s.note("%s crashes", workers[1].id)
		workers[1].crash()
	case trouble:
		sleepUntil(began.Add(4 * time.Second))
		s.kill(relays[0])
		s.note("%s is killed", relays[0].name)
		sleepUntil(began.Add(5 * time.Second))
		if err := s.start(relays[0]); err != nil {
			return err
		}
		s.note("%s is started again", relays[0].name)
	}
	wait.Wait()
	return judgeStreams(s, clients, trouble)
}

// judgeStreams checks that no stream that has ended as complete is joined from two texts.
func judgeStreams(s *system, clients []*reader, trouble bool) error {
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
	case complete == 0 || trouble && takenUp == 0:
		return fmt.Errorf("%d streams were complete and %d taken up, so that nothing was tested", complete, takenUp)
	}
	return nil
}

// splitConfiguration returns a configuration that gives one service a share in percent.
func splitConfiguration(version, blue, attempts int) map[string]any {
	engine := map[string]any{"slots": engineSlots, "kvTokenCapacity": engineCapacity, "kvHoldS": 0.5, "stride": tokensPerEvent}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "packets", "host": host, "pathPrefix": "/packets/", "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900,
			"gapTargetMs": 300, "priority": 1, "maxAttempts": attempts, "resumable": true, "sticky": true,
			"trafficSplit": []any{map[string]any{"service": "reader-blue", "weight": blue}, map[string]any{"service": "reader-green", "weight": 100 - blue}},
		}},
		"services": []any{
			map[string]any{"name": "reader-blue", "maxConns": 370, "engine": engine},
			map[string]any{"name": "reader-green", "maxConns": 370, "engine": engine},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
