package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"crocusstep/fault"
	"crocusstep/gossip"
	"crocusstep/ident"
)

// replyTimeout bounds a call to a keeper beyond the wait that it was granted;
// regions are 24 ms apart, and keepers have a third of a core.
const replyTimeout = 250 * time.Millisecond

// Client calls the keepers beside engines.
type Client struct {
	http *http.Client
	// port is where every keeper listens.
	port int
}

// NewClient returns a client for keepers at a port of their instances.
func NewClient(client *http.Client, port int) *Client { return &Client{http: client, port: port} }

// KeeperAddress returns the address of the keeper on an endpoint's instance.
func (c *Client) KeeperAddress(endpoint ident.Address) ident.Address {
	host, _, err := net.SplitHostPort(string(endpoint))
	if err != nil {
		return ""
	}
	return ident.Address(net.JoinHostPort(host, strconv.Itoa(c.port)))
}

// Reserve asks the keeper beside an endpoint for a place.
func (c *Client) Reserve(ctx context.Context, endpoint ident.Address, ask ReserveRequest) (answer ReserveResponse, err error) {
	defer fault.Annotate(&err, "ask for a place beside %s", endpoint)
	err = c.call(ctx, endpoint, ReservePath, ask.MaxWait+replyTimeout, ask, &answer)
	return answer, err
}

// SchedulePrefill asks the keeper beside a prefill endpoint for a turn.
func (c *Client) SchedulePrefill(ctx context.Context, endpoint ident.Address, turn PrefillRequest) (answer PrefillResponse, err error) {
	defer fault.Annotate(&err, "ask for a turn beside %s", endpoint)
	err = c.call(ctx, endpoint, PrefillPath, replyTimeout, turn, &answer)
	return answer, err
}

// ChangeStage asks a keeper to have its engine work on another stage.
func (c *Client) ChangeStage(ctx context.Context, endpoint ident.Address, order StageRequest) (answer StageResponse, err error) {
	defer fault.Annotate(&err, "change the stage beside %s", endpoint)
	err = c.call(ctx, endpoint, StagePath, orderTimeout+replyTimeout, order, &answer)
	return answer, err
}

// Release gives a place back.
func (c *Client) Release(ctx context.Context, endpoint ident.Address, attempt ident.AttemptID) (err error) {
	defer fault.Annotate(&err, "release a place beside %s", endpoint)
	return c.call(ctx, endpoint, ReleasePath, replyTimeout, ReleaseRequest{Attempt: attempt}, &struct{}{})
}

// Exchange tells a keeper the news and returns what it knows beyond them.
func (c *Client) Exchange(ctx context.Context, endpoint ident.Address, bulletin *gossip.Message) (reply gossip.Message, err error) {
	defer fault.Annotate(&err, "exchange news with the keeper beside %s", endpoint)
	err = c.call(ctx, endpoint, GossipPath, time.Second, bulletin, &reply)
	return reply, err
}

func (c *Client) call(ctx context.Context, endpoint ident.Address, path string, timeout time.Duration, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	url := "http://" + string(c.KeeperAddress(endpoint)) + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the keeper answered with status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(reply)
}
