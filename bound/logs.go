package bound

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"crocusstep/ident"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// defaultSpread is the spread of an estimate that no keeper has logged.
const defaultSpread = 0.5

// duration is a duration in the logs' format, such as "1.5s".
type duration Seconds

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = duration(parsed.Seconds())
	return err
}

// logLine holds the attributes that are read from a log line.
type logLine struct {
	Time         time.Time          `json:"time"`
	Msg          string             `json:"msg"`
	Request      ident.AttemptID    `json:"request"`
	Endpoint     ident.EndpointName `json:"endpoint"`
	Stage        string             `json:"stage"`
	Prompt       ident.TokenCount   `json:"prompt"`
	Estimate     ident.TokenCount   `json:"estimate"`
	Output       ident.TokenCount   `json:"output"`
	Spread       float64            `json:"spread"`
	Outcome      string             `json:"outcome"`
	Status       int                `json:"status"`
	FirstToken   duration           `json:"first"`
	ResponseTime duration           `json:"whole"`
	LongestGap   duration           `json:"longest-pause"`
	Generated    ident.TokenCount   `json:"tokens-made"`
	// ReservationWait and PrefillTime precede the request to the decode engine.
	ReservationWait duration `json:"place-wait"`
	PrefillTime     duration `json:"reading"`
}

// attempt is one attempt of a caller as its relay logged it.
type attempt struct {
	outcome string
	// answered is set if the caller received a complete response.
	answered bool
	// firstToken is zero if the caller received none.
	firstToken, longestGap, responseTime duration
	// reservationWait and prefillTime are those of the last try at a decode engine.
	reservationWait, prefillTime duration
	// noPrefillSlot is set if the attempt was refused for lack of a prefill slot.
	noPrefillSlot bool
}

// readLines calls a function for each JSON line of a log. Text before the first brace of
// a line is skipped, as log collectors put the instance's name there.
func readLines(log io.Reader, handle func(logLine)) (err error) {
	defer func() { err = eris.Wrap(err, "scan a log") }()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if at := bytes.IndexByte(text, '{'); at >= 0 {
			text = text[at:]
		}
		var l logLine
		// Other processes may write lines of other formats to the same output.
		if json.Unmarshal(text, &l) == nil && l.Msg != "" {
			handle(l)
		}
	}
	return scanner.Err()
}

// logReader collects a workload from log lines in any order.
type logReader struct {
	reservations map[ident.AttemptID]logLine
	ended        []logLine
	// begun holds the last try at a decode engine of each attempt.
	begun         map[ident.AttemptID]logLine
	noPrefillSlot map[ident.AttemptID]bool
	stages        []logLine
	start         time.Time
	end           time.Time
}

// ReadLogs reads a workload from the logs of all relays and keepers. It fails if they
// contain no request with a prompt.
func ReadLogs(e EngineModel, logs ...io.Reader) (workload *Workload, err error) {
	defer func() { err = eris.Wrap(err, "read the workload") }()
	l := &logReader{reservations: map[ident.AttemptID]logLine{}, begun: map[ident.AttemptID]logLine{}, noPrefillSlot: map[ident.AttemptID]bool{}}
	for _, log := range logs {
		if err := readLines(log, l.add); err != nil {
			return nil, err
		}
	}
	workload = &Workload{Engine: e, Requests: l.requests(e)}
	if len(workload.Requests) == 0 {
		return nil, eris.New("no request with a prompt in the logs")
	}
	workload.EngineCounts = l.engines()
	workload.Duration = l.since(l.end)
	setValues(workload.Requests)
	return workload, nil
}

func (l *logReader) add(line logLine) {
	if l.end.Before(line.Time) {
		l.end = line.Time
	}
	switch line.Msg {
	case "place asked for":
		if _, ok := l.reservations[line.Request]; !ok {
			l.reservations[line.Request] = line
		}
	case "stream begun":
		l.begun[line.Request] = line
	case "no turn in time":
		l.noPrefillSlot[line.Request] = true
	case "request ended":
		l.ended = append(l.ended, line)
	case "an endpoint's record changed", "an endpoint's record is gone":
		l.stages = append(l.stages, line)
	}
}

func (l *logReader) since(t time.Time) Seconds { return Seconds(t.Sub(l.start).Seconds()) }

// requests merges the attempts of each request: a caller who retries sends the same
// prompt with the same estimate of the output's length.
func (l *logReader) requests(e EngineModel) []Request {
	type key struct{ prompt, estimate ident.TokenCount }
	arrived := func(attempt logLine) time.Time {
		return attempt.Time.Add(-time.Duration(float64(attempt.ResponseTime) * float64(time.Second)))
	}
	slices.SortFunc(l.ended, func(a, b logLine) int { return arrived(a).Compare(arrived(b)) })
	var requests []Request
	latest := map[key]int{}
	for _, ended := range l.ended {
		if ended.Prompt == 0 {
			continue
		}
		at := arrived(ended)
		if l.start.IsZero() {
			l.start = at
		}
		k := key{ended.Prompt, ended.Estimate}
		i, known := latest[k]
		if !known || l.since(at)-requests[i].At > seconds(e.CallerTimeout) {
			i = len(requests)
			latest[k] = i
			reservation, ok := l.reservations[ended.Request]
			if !ok {
				// The relay refused it before asking for a reservation.
				reservation.Output, reservation.Spread = ended.Estimate, defaultSpread
			}
			requests = append(requests, Request{At: l.since(at), Prompt: ended.Prompt, Output: reservation.Output, EstimatedOutput: reservation.Output, Spread: reservation.Spread})
		}
		r := &requests[i]
		r.attempts = append(r.attempts, l.attempt(ended))
		if ended.Outcome != "answered" || ended.Status != 200 {
			continue
		}
		r.Observed = Outcome{
			Answered: true, FirstToken: Seconds(ended.FirstToken), ResponseTime: Seconds(ended.ResponseTime),
			InTime: l.since(at)+Seconds(ended.FirstToken)-r.At <= seconds(e.FirstTokenTarget) && Seconds(ended.LongestGap) <= seconds(e.MaxGap),
		}
		if ended.Generated > 0 {
			r.Output = ended.Generated
		}
	}
	return requests
}

// attempt returns the attempt whose end is logged in a line.
func (l *logReader) attempt(ended logLine) attempt {
	begun := l.begun[ended.Request]
	return attempt{
		outcome: ended.Outcome, answered: ended.Outcome == "answered" && ended.Status == 200,
		firstToken: ended.FirstToken, longestGap: ended.LongestGap, responseTime: ended.ResponseTime,
		reservationWait: begun.ReservationWait, prefillTime: begun.PrefillTime,
		noPrefillSlot: l.noPrefillSlot[ended.Request],
	}
}

// engines returns the number of registered engines over time.
func (l *logReader) engines() []EngineCount {
	slices.SortStableFunc(l.stages, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	present := map[ident.EndpointName]bool{}
	counts := []EngineCount{{}}
	for _, s := range l.stages {
		if s.Msg == "an endpoint's record changed" && s.Stage != "" {
			present[s.Endpoint] = true
		} else if s.Msg == "an endpoint's record is gone" {
			delete(present, s.Endpoint)
		}
		counts = append(counts, EngineCount{From: max(0, l.since(s.Time)), Count: len(present)})
	}
	return counts
}
