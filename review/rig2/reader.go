package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	streamDeadline = 14 * time.Second
	maxAttempts    = 4
	host           = "reader.example"
)

// reader is a client of one resumable stream. After a broken connection it takes the stream up again
// at another relay, after the last event that it has.
type reader struct {
	system *system
	path   string
	// relays are the addresses of relays, in the order in which they are tried.
	relays []string

	// events holds the data of each complete event by its id.
	events []string
	last   int
	// first is the id of the attempt that brought the first event.
	first string
	// complete is set once the stream has ended as complete.
	complete bool
	takeUps  int
}

// read reads the stream to its end.
func (c *reader) read() {
	deadline := time.Now().Add(streamDeadline)
	for attempt := range maxAttempts {
		left := time.Until(deadline)
		if left <= 0 {
			return
		}
		wait, again := c.try(c.relays[attempt%len(c.relays)], left)
		if !again || wait > left/3 {
			return
		}
		time.Sleep(wait)
	}
}

// try sends the request once. It returns whether the client tries again, and the wait before.
func (c *reader) try(address string, left time.Duration) (wait time.Duration, again bool) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.path, strings.NewReader("a long packet"))
	if err != nil {
		return 0, false
	}
	id := randomID()
	request.Host = host
	request.Header.Set(attemptIDHeader, id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("X-Model-Id", "m")
	request.Header.Set("X-Token-Count", "1000,6100")
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:200,"+id+":800")
	if c.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
		// The clients of the users' bench name the attempt that brought the first event.
		request.Header.Set("Resumes", c.first)
		c.takeUps++
	}
	c.system.note("client sends %s (%s) to %s after event %d", id, c.path, address, c.last)
	// Each attempt uses a new connection.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.system.note("client gets no answer to %s: %v", id, err)
		return 0, true
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.system.note("client gets %d for %s", response.StatusCode, id)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			seconds = 0.5
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	if c.first == "" {
		c.first = id
	}
	if err := c.readEvents(response.Body); err != nil {
		c.system.note("client: %s breaks off after event %d: %v", id, c.last, err)
		return 0, true
	}
	c.complete = true
	c.system.note("client: %s ends as complete with event %d, sealed by %q", id, c.last, response.Header.Get("X-Server-Seal"))
	return 0, false
}

// readEvents reads complete events until the body ends.
func (c *reader) readEvents(body io.Reader) error {
	lines := bufio.NewReader(body)
	id, data := 0, ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(strings.TrimPrefix(line, "id: "))
		case strings.HasPrefix(line, "data: "):
			data = strings.TrimPrefix(line, "data: ")
		case line == "" && data != "":
			c.events = append(c.events, data)
			c.last = id
			data = ""
		}
	}
}

// versions returns the software versions whose pieces the client has, in order.
func (c *reader) versions() (list []string) {
	for _, text := range c.events {
		var path, version string
		var piece int
		if _, err := fmt.Sscanf(text, "%s software %s piece %d", &path, &version, &piece); err != nil {
			version = "unreadable"
		}
		if len(list) == 0 || list[len(list)-1] != version {
			list = append(list, version)
		}
	}
	return list
}
