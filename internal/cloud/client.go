// Package cloud is the client of the cloud that rents machines. It keeps to
// this controller's part of the cloud's rate.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// Errors that callers tell apart; after any other the call may have been, or
// may yet be, executed.
var (
	ErrNoCapacity     = errors.New("no capacity")
	ErrRejected       = errors.New("cloud refused the call")
	ErrInvalidRequest = errors.New("cloud calls the request malformed")
)

// Client talks to the cloud.
type Client struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
	timeout    time.Duration
}

// New makes a client that uses at most share of the rate.
func New(addr string, rps, share float64, timeout time.Duration) *Client {
	return &Client{
		baseURL: "http://" + addr, httpClient: httpjson.Client(timeout, 2, 0), timeout: timeout,
		limiter: rate.NewLimiter(rate.Limit(rps*share), max(1, int(rps*share))),
	}
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrRejected, err)
	}
	status, b, err := httpjson.Call(ctx, c.httpClient, c.timeout, method, c.baseURL+path, in)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return json.Unmarshal(b, out)
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: 429", ErrRejected)
	case http.StatusServiceUnavailable:
		var p wire.ErrorResponse
		if json.Unmarshal(b, &p) == nil && p.Message == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: 503", ErrRejected)
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", ErrInvalidRequest, b)
	default:
		return fmt.Errorf("status %d", status)
	}
}

// MachineTypes reads the machine types and their prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var out wire.MachineTypeList
	err := c.call(ctx, http.MethodGet, "/machine_types", nil, &out)
	return out.Types, err
}

// Provision rents machines.
func (c *Client) Provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	var out wire.MachineNames
	err := c.call(ctx, http.MethodPost, "/hosts", r, &out)
	return out.Names, err
}

// Delete returns machines; once it succeeds, they are gone.
func (c *Client) Delete(ctx context.Context, names []wire.MachineID) error {
	return c.call(ctx, http.MethodPost, "/hosts/delete", wire.MachineNames{Names: names}, nil)
}

// List reads every machine, page by page.
func (c *Client) List(ctx context.Context) ([]wire.Instance, error) {
	var all []wire.Instance
	after := wire.MachineID("")
	for {
		q := url.Values{"most": {strconv.Itoa(wire.MaxInstancesPerPage)}}
		if after != "" {
			q.Set("after", string(after))
		}
		var page wire.InstanceList
		if err := c.call(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Instances...)
		if !page.More || len(page.Instances) == 0 {
			return all, nil
		}
		after = page.Instances[len(page.Instances)-1].ID
	}
}
