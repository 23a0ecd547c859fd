package simulation

import (
	"context"
	"time"

	"lynxledge/wire"
)

// CloudConn is one controller's client of the cloud, through the simulated network.
type CloudConn struct {
	Cloud          *Cloud
	Network        *Network
	Member         string
	Timeout        time.Duration
	MachineContext context.Context // of the machines, which outlive the controllers
}

// MachineTypes returns the machine types that the cloud offers.
func (c *CloudConn) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	return send(ctx, c.Network, c.Member, CloudHost, c.Timeout, func() ([]wire.MachineType, error) { return c.Cloud.types, nil })
}

// Provision provisions up to r.Count machines and returns their IDs.
func (c *CloudConn) Provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	return send(ctx, c.Network, c.Member, CloudHost, c.Timeout, func() ([]wire.MachineID, error) { return c.Cloud.provision(c.MachineContext, r) })
}

// Delete terminates machines.
func (c *CloudConn) Delete(ctx context.Context, ids []wire.MachineID) error {
	_, err := send(ctx, c.Network, c.Member, CloudHost, c.Timeout, func() (struct{}, error) { return struct{}{}, c.Cloud.delete(ids) })
	return err
}

// List returns the instances as of some time ago.
func (c *CloudConn) List(ctx context.Context) ([]wire.Instance, error) {
	return send(ctx, c.Network, c.Member, CloudHost, c.Timeout, c.Cloud.list)
}
