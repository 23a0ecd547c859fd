package cloud

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// idleConns is the number of idle connections to the cloud that are kept open.
const idleConns = 2

// Client is a client of the cloud.
type Client struct {
	client  *httpjson.Client
	timeout time.Duration
}

// New returns a client of the cloud at addr that never exceeds the given share of requestRate, the
// number of requests per second that the cloud allows.
func New(addr string, requestRate, share float64, timeout time.Duration) *Client {
	return &Client{client: httpjson.NewClient(addr, requestRate*share, timeout, idleConns), timeout: timeout}
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	return translateError(c.client.Call(ctx, c.timeout, method, path, in, out))
}

// MachineTypes returns the machine types that the cloud offers, with their prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var out wire.MachineTypeList
	err := c.call(ctx, http.MethodGet, "/machine_types", nil, &out)
	return out.Types, err
}

// Provision provisions machines and returns their IDs.
func (c *Client) Provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	var out wire.MachineNames
	err := c.call(ctx, http.MethodPost, "/hosts", r, &out)
	return out.Names, err
}

// Delete terminates machines. Once it has succeeded, they no longer exist.
func (c *Client) Delete(ctx context.Context, names []wire.MachineID) error {
	return c.call(ctx, http.MethodPost, "/hosts/delete", wire.MachineNames{Names: names}, nil)
}

// List returns all instances, which it reads page by page.
func (c *Client) List(ctx context.Context) ([]wire.Instance, error) {
	var all []wire.Instance
	after := wire.MachineID("")
	for {
		query := url.Values{"most": {strconv.Itoa(wire.MaxInstancesPerPage)}}
		if after != "" {
			query.Set("after", string(after))
		}
		var page wire.InstanceList
		if err := c.call(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Instances...)
		if !page.More || len(page.Instances) == 0 {
			return all, nil
		}
		after = page.Instances[len(page.Instances)-1].ID
	}
}
