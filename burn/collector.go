package burn

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/reply"
)

// maxSeriesBytes limits the series of one entry.
const maxSeriesBytes = 8 << 20

// Collector reads the series of several entries over HTTP.
type Collector struct {
	http  *http.Client
	token string
}

// NewCollector returns a Collector that authenticates with the admin token.
func NewCollector(client *http.Client, token string) *Collector {
	return &Collector{http: reply.Client(client), token: strings.TrimSpace(token)}
}

// Collect returns the series of all reachable entries and an error for each other
// entry.
func (c *Collector) Collect(ctx context.Context, entries []ident.Address) (series []Series, failures []error) {
	for _, address := range entries {
		list, err := c.readSeries(ctx, address)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		series = append(series, list...)
	}
	return series, failures
}

func (c *Collector) readSeries(ctx context.Context, address ident.Address) (series []Series, err error) {
	defer fault.Annotate(&err, "read the series of %s", address)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/burn", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return series, json.NewDecoder(io.LimitReader(response.Body, maxSeriesBytes)).Decode(&series)
}
