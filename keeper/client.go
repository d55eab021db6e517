package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"crocusstep/fault"
	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/quota"
	"crocusstep/reply"
)

// callTimeout limits a call to a keeper, on top of the wait that the request allows.
// The round trip between regions is 24 ms, and a keeper gets a third of a core.
const callTimeout = 250 * time.Millisecond

// permitTimeout limits a request for a permit, which a plain call waits for.
const permitTimeout = 120 * time.Millisecond

// quotaTimeout limits a request for units of a quota, which every request of a stream waits for.
// A keeper's instance that pauses for a tenth of a second still responds in it.
const quotaTimeout = 200 * time.Millisecond

// Client calls the keepers on the instances of endpoints.
type Client struct {
	http *http.Client
	// port is the port on which every keeper listens.
	port int
}

// NewClient returns a client for keepers that listen on the given port.
func NewClient(client *http.Client, port int) *Client {
	return &Client{http: reply.Client(client), port: port}
}

// KeeperAddress returns the address of the keeper on an endpoint's instance.
func (c *Client) KeeperAddress(endpoint ident.Address) ident.Address {
	host, _, err := net.SplitHostPort(string(endpoint))
	if err != nil {
		return ""
	}
	return ident.Address(net.JoinHostPort(host, strconv.Itoa(c.port)))
}

// Reserve requests memory for one request at a decode endpoint.
func (c *Client) Reserve(ctx context.Context, endpoint ident.Address, reserve ReserveRequest) (response ReserveResponse, err error) {
	defer fault.Annotate(&err, "reserve memory at %s", endpoint)
	err = c.call(ctx, endpoint, ReservePath, reserve.MaxWait+callTimeout, reserve, &response)
	return response, err
}

// Load returns the load of a decode endpoint, as a denied reservation of a mean request
// does.
func (c *Client) Load(ctx context.Context, endpoint ident.Address, load LoadRequest) (response ReserveResponse, err error) {
	defer fault.Annotate(&err, "read the load of %s", endpoint)
	err = c.call(ctx, endpoint, LoadPath, callTimeout, load, &response)
	return response, err
}

// SchedulePrefill requests a prefill slot at an endpoint.
func (c *Client) SchedulePrefill(ctx context.Context, endpoint ident.Address, prefill PrefillRequest) (response PrefillResponse, err error) {
	defer fault.Annotate(&err, "schedule a prefill at %s", endpoint)
	err = c.call(ctx, endpoint, PrefillPath, callTimeout, prefill, &response)
	return response, err
}

// ChangeStage asks a keeper to change the stage of its engine.
func (c *Client) ChangeStage(ctx context.Context, endpoint ident.Address, change StageRequest) (response StageResponse, err error) {
	defer fault.Annotate(&err, "change the stage of %s", endpoint)
	err = c.call(ctx, endpoint, StagePath, stageTimeout+callTimeout, change, &response)
	return response, err
}

// Permit requests a permit for an endpoint from a keeper, which may be that of another endpoint.
func (c *Client) Permit(ctx context.Context, keeper ident.Address, permit PermitRequest) (response PermitResponse, err error) {
	defer fault.Annotate(&err, "request a permit from the keeper of %s", keeper)
	err = c.call(ctx, keeper, PermitPath, permitTimeout, permit, &response)
	return response, err
}

// Quota requests units of a workspace's quota from a keeper, or returns some.
func (c *Client) Quota(ctx context.Context, keeper ident.Address, request QuotaRequest) (response quota.Response, err error) {
	defer fault.Annotate(&err, "request units of a quota from the keeper of %s", keeper)
	err = c.call(ctx, keeper, QuotaPath, quotaTimeout, request, &response)
	return response, err
}

// Origin sends origins of streams to a keeper, or asks it for one.
func (c *Client) Origin(ctx context.Context, keeper ident.Address, request OriginRequest) (response OriginResponse, err error) {
	defer fault.Annotate(&err, "exchange origins with the keeper of %s", keeper)
	err = c.call(ctx, keeper, OriginPath, callTimeout, request, &response)
	return response, err
}

// Release releases a reservation that will not be used.
func (c *Client) Release(ctx context.Context, endpoint ident.Address, release ReleaseRequest) (err error) {
	defer fault.Annotate(&err, "release a reservation at %s", endpoint)
	return c.call(ctx, endpoint, ReleasePath, callTimeout, release, &struct{}{})
}

// Exchange sends a gossip message to a keeper and returns what the sender lacks.
func (c *Client) Exchange(ctx context.Context, endpoint ident.Address, message *gossip.Message) (response gossip.Message, err error) {
	defer fault.Annotate(&err, "exchange gossip with the keeper of %s", endpoint)
	err = c.call(ctx, endpoint, GossipPath, time.Second, message, &response)
	return response, err
}

func (c *Client) call(ctx context.Context, endpoint ident.Address, path string, timeout time.Duration, message, target any) error {
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
	limit := int64(maxReplyBytes)
	if path == GossipPath {
		limit = maxMessageBytes
	}
	body := io.LimitReader(response.Body, limit)
	if err := json.NewDecoder(body).Decode(target); err != nil {
		return err
	}
	// The end shows whether the response is malformed or cut.
	_, err = io.Copy(io.Discard, body)
	return err
}
