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

// lineMost is the longest log line that is read, in bytes.
const lineMost = 1 << 20

// spreadUnknown is the spread of an estimate that no keeper has judged.
const spreadUnknown = 0.5

// duration is a time as the logs print it.
type duration Seconds

// UnmarshalJSON decodes a time.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = duration(parsed.Seconds())
	return err
}

// line is what is used of a log line.
type line struct {
	Time     time.Time          `json:"time"`
	Msg      string             `json:"msg"`
	Request  ident.AttemptID    `json:"request"`
	Endpoint ident.EndpointName `json:"endpoint"`
	Stage    string             `json:"stage"`
	Prompt   ident.TokenCount   `json:"prompt"`
	Estimate ident.TokenCount   `json:"estimate"`
	Output   ident.TokenCount   `json:"output"`
	Spread   float64            `json:"spread"`
	Outcome  string             `json:"outcome"`
	Status   int                `json:"status"`
	First    duration           `json:"first"`
	Whole    duration           `json:"whole"`
	Pause    duration           `json:"longest-pause"`
	Made     ident.TokenCount   `json:"tokens-made"`
}

// lines calls a function for each line of a log. What stands before the line's
// first brace is skipped, as collectors put the instance there.
func lines(log io.Reader, each func(line)) (err error) {
	defer func() { err = eris.Wrap(err, "read a log") }()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, lineMost)
	for scanner.Scan() {
		text := scanner.Bytes()
		if at := bytes.IndexByte(text, '{'); at >= 0 {
			text = text[at:]
		}
		var l line
		// Other processes may write to the same output.
		if json.Unmarshal(text, &l) == nil && l.Msg != "" {
			each(l)
		}
	}
	return scanner.Err()
}

// loader gathers a day from log lines, which come in any order.
type loader struct {
	asked   map[ident.AttemptID]line
	ended   []line
	stages  []line
	started time.Time
	last    time.Time
}

// ReadLogs reads the logs of all relays and keepers of a day.
func ReadLogs(e EngineModel, logs ...io.Reader) (day *Workload, err error) {
	defer func() { err = eris.Wrap(err, "load a day") }()
	l := &loader{asked: map[ident.AttemptID]line{}}
	for _, log := range logs {
		if err := lines(log, l.add); err != nil {
			return nil, err
		}
	}
	day = &Workload{Engine: e, Requests: l.requests(e)}
	if len(day.Requests) == 0 {
		return nil, eris.New("there is no request with a prompt in the logs")
	}
	day.Engines = l.engines()
	day.Length = l.since(l.last)
	worthBySize(day.Requests)
	return day, nil
}

func (l *loader) add(of line) {
	if l.last.Before(of.Time) {
		l.last = of.Time
	}
	switch of.Msg {
	case "place asked for":
		if _, ok := l.asked[of.Request]; !ok {
			l.asked[of.Request] = of
		}
	case "request ended":
		l.ended = append(l.ended, of)
	case "an endpoint's record changed", "an endpoint's record is gone":
		l.stages = append(l.stages, of)
	}
}

func (l *loader) since(t time.Time) Seconds { return Seconds(t.Sub(l.started).Seconds()) }

// requests joins the attempts of each request: a caller who comes back sends the
// same prompt with the same estimate of the answer's length.
func (l *loader) requests(e EngineModel) []Request {
	type key struct{ prompt, estimate ident.TokenCount }
	arrived := func(of line) time.Time { return of.Time.Add(-time.Duration(float64(of.Whole) * float64(time.Second))) }
	slices.SortFunc(l.ended, func(a, b line) int { return arrived(a).Compare(arrived(b)) })
	var requests []Request
	newest := map[key]int{}
	for _, ended := range l.ended {
		if ended.Prompt == 0 {
			continue
		}
		at := arrived(ended)
		if l.started.IsZero() {
			l.started = at
		}
		k := key{ended.Prompt, ended.Estimate}
		i, known := newest[k]
		if !known || l.since(at)-requests[i].At > seconds(e.Patience) {
			i = len(requests)
			newest[k] = i
			asked, ok := l.asked[ended.Request]
			if !ok {
				// It was refused before a place was asked for.
				asked.Output, asked.Spread = ended.Estimate, spreadUnknown
			}
			requests = append(requests, Request{At: l.since(at), Prompt: ended.Prompt, Made: asked.Output, Expected: asked.Output, Spread: asked.Spread})
		}
		r := &requests[i]
		if ended.Outcome != "answered" || ended.Status != 200 {
			continue
		}
		r.Seen = Seen{
			Answered: true, First: Seconds(ended.First), Whole: Seconds(ended.Whole),
			InTime: l.since(at)+Seconds(ended.First)-r.At <= seconds(e.Objective) && Seconds(ended.Pause) <= seconds(e.Pause),
		}
		if ended.Made > 0 {
			r.Made = ended.Made
		}
	}
	return requests
}

// engines counts the engines whose records were there.
func (l *loader) engines() []Count {
	slices.SortStableFunc(l.stages, func(a, b line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	there := map[ident.EndpointName]bool{}
	counts := []Count{{}}
	for _, s := range l.stages {
		if s.Msg == "an endpoint's record changed" && s.Stage != "" {
			there[s.Endpoint] = true
		} else if s.Msg == "an endpoint's record is gone" {
			delete(there, s.Endpoint)
		}
		counts = append(counts, Count{From: max(0, l.since(s.Time)), Count: len(there)})
	}
	return counts
}
