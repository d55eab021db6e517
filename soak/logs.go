package main

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"time"
)

// maxLogLine is the longest log line that is read.
const maxLogLine = 1 << 20

var (
	requestInLog = regexp.MustCompile(`"?request"?[=:]"?([^"\s,]+)`)
	timeInLog    = regexp.MustCompile(`^"?time"?=(\S+)`)
)

// readLines passes each line of a process's log to a function.
func (f *fleet) readLines(process string, visit func(line string)) error {
	file, err := os.Open(filepath.Join(f.Folder, process+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		visit(lines.Text())
	}
	return lines.Err()
}

// loggedRequests returns the ids of the requests in the logs of relays, which callers choose.
func (f *fleet) loggedRequests() (map[string]bool, error) {
	ids := map[string]bool{}
	for _, r := range f.relays {
		err := f.readLines(r.name, func(line string) {
			for _, match := range requestInLog.FindAllStringSubmatch(line, -1) {
				ids[match[1]] = true
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return ids, nil
}

// entryLog holds when the entries logged requests whose callers did not receive the id that their
// entry assigned, by entry.
type entryLog map[string][]time.Time

// readEntryLogs returns what the entries logged of requests whose callers received no response.
func (f *fleet) readEntryLogs(fates []ownFate) (entryLog, error) {
	received := map[string]bool{}
	for _, one := range fates {
		received[one.routerID] = true
	}
	log := entryLog{}
	for _, entry := range f.own.entries {
		err := f.readLines(entry, func(line string) {
			id, at := requestInLog.FindStringSubmatch(line), timeInLog.FindStringSubmatch(line)
			if id == nil || at == nil || received[id[1]] {
				return
			}
			// A line without a time is no evidence.
			if loggedAt, err := time.Parse(time.RFC3339Nano, at[1]); err == nil {
				log[entry] = append(log[entry], loggedAt)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return log, nil
}

// readUnanswered reports whether the entry logged a request without a receiver while this one was
// on its way, which may have been this one.
func (l entryLog) readUnanswered(f fate) bool {
	const logDelay = 500 * time.Millisecond
	for _, at := range l[f.process] {
		if !at.Before(f.sentAt) && at.Before(f.endedAt.Add(logDelay)) {
			return true
		}
	}
	return false
}
