package simulation

import (
	"context"
	"time"

	"lynxledge/wire"
)

// CloudConn is one controller's connection to the cloud.
type CloudConn struct {
	Cloud          *Cloud
	Network        *Network
	Member         string
	Timeout        time.Duration
	MachineContext context.Context // machines outlive the controllers
}

// MachineTypes lists the machine types.
func (c *CloudConn) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	return send(ctx, c.Network, c.Member, CloudHost, c.Timeout, func() ([]wire.MachineType, error) { return c.Cloud.types, nil })
}

// Provision provisions machines.
func (c *CloudConn) Provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	return send(ctx, c.Network, c.Member, CloudHost, c.Timeout, func() ([]wire.MachineID, error) { return c.Cloud.provision(c.MachineContext, r) })
}

// Delete deletes machines.
func (c *CloudConn) Delete(ctx context.Context, names []wire.MachineID) error {
	_, err := send(ctx, c.Network, c.Member, CloudHost, c.Timeout, func() (struct{}, error) { return struct{}{}, c.Cloud.delete(names) })
	return err
}

// List lists the machines, as of some time ago.
func (c *CloudConn) List(ctx context.Context) ([]wire.Instance, error) {
	return send(ctx, c.Network, c.Member, CloudHost, c.Timeout, c.Cloud.list)
}
