package config

import (
	"fmt"
	"math"
	"net"

	"lynxledge/wire"
)

const (
	// minTxnOps is the number of writes in the largest atomic change, plus one spare. That change
	// writes a machine's record, a completion chunk and the job's record.
	minTxnOps = 4

	// minValueKB is enough for the record of a group of one machine with a few tasks, and for a
	// job's record.
	minValueKB = 1.0
)

// validate checks the document section by section and returns the first error, a *FieldError.
func (d *configDocument) validate() error {
	p := &d.Params
	for _, check := range []func() error{
		d.validateAddresses, d.validatePeers, p.validateAmounts, p.validateStore, p.Workers.validate, p.validateTeams,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (d *configDocument) validateAddresses() error {
	if d.MemberName == "" {
		return fieldSubjectErrorf("member", "is missing")
	}
	for _, a := range []struct{ field, address string }{
		{"client_listen", d.ClientListenAddress}, {"mesh_addr", d.PeerListenAddress},
		{"external.cloud", d.External.Cloud}, {"external.state", d.External.State},
	} {
		if err := validateAddress(a.field, a.address); err != nil {
			return err
		}
	}
	return nil
}

func (d *configDocument) validatePeers() error {
	seen := map[string]bool{d.MemberName: true}
	for i, p := range d.Peers {
		if p.Name == "" || seen[p.Name] {
			return fieldErrorf(fmt.Sprintf("others[%d].member", i), "%q is empty or named twice", p.Name)
		}
		seen[p.Name] = true
		if err := validateAddress(fmt.Sprintf("others[%d].endpoint", i), p.Address); err != nil {
			return err
		}
	}
	return nil
}

func validateAddress(field, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fieldErrorf(field, "%q is not host:port", address)
	}
	return nil
}

// validateAmounts checks the numbers that must be above 0.
func (p *paramsDocument) validateAmounts() error {
	for _, a := range []struct {
		field string
		value float64
	}{
		{"params.workers.report_s", p.Workers.HeartbeatInterval},
		{"params.workers.lease_s", p.Workers.LeaseDuration},
		{"params.workers.cancel_s", p.Workers.CancellationDeadline},
		{"params.state.rps", p.Store.RequestRate},
		{"params.state.write_rps", p.Store.WriteRate},
		{"params.state.value_kb", p.Store.MaxValueKB},
		{"params.state.txn_ops", float64(p.Store.MaxTxnOps)},
		{"params.cloud.rps", p.Cloud.RequestRate},
		{"params.cloud.list_lag_s", p.Cloud.ListLag},
		{"params.resources.cpu", p.Resources.CPUs},
		{"params.resources.memory_mb", p.Resources.MemoryMB},
	} {
		if err := validatePositive(a.field, a.value); err != nil {
			return err
		}
	}
	return nil
}

// validatePositive rejects NaN and infinity as well.
func validatePositive(field string, value float64) error {
	if !(value > 0) || math.IsInf(value, 0) {
		return fieldSubjectErrorf(field, "must be more than 0")
	}
	return nil
}

func (p *paramsDocument) validateStore() error {
	if err := validateStoreSizes("params.state", p.Store.MaxValueKB, p.Store.MaxTxnOps); err != nil {
		return err
	}
	upcoming := p.Store.Upcoming
	if upcoming == nil {
		return nil
	}
	if err := validatePositive("params.state.next.write_rps", upcoming.WriteRate); err != nil {
		return err
	}
	if upcoming.RequestRate != nil {
		if err := validatePositive("params.state.next.rps", *upcoming.RequestRate); err != nil {
			return err
		}
	}
	return validateStoreSizes("params.state.next", upcoming.MaxValueKB, upcoming.MaxTxnOps)
}

func validateStoreSizes(section string, valueKB float64, txnOps int) error {
	if txnOps < minTxnOps {
		return fieldSubjectErrorf(section+".txn_ops", "must be at least %d", minTxnOps)
	}
	if !(valueKB >= minValueKB) || math.IsInf(valueKB, 0) {
		return fieldSubjectErrorf(section+".value_kb", "must be at least %v: a machine's record would not fit", minValueKB)
	}
	return nil
}

func (w *workerTimingsDocument) validate() error {
	if w.LeaseDuration <= w.HeartbeatInterval {
		return fieldSubjectErrorf("params.workers.lease_s", "must be longer than report_s")
	}
	// A worker whose last heartbeat got its response just before the controller learned of a
	// cancellation runs its tasks for one more lease.
	if w.CancellationDeadline <= w.LeaseDuration+2*w.HeartbeatInterval {
		return fieldSubjectErrorf("params.workers.cancel_s", "must be longer than lease_s by more than two report_s: cancellations could not be kept")
	}
	return nil
}

func (p *paramsDocument) validateTeams() error {
	seen := map[wire.TeamName]bool{}
	for i, t := range p.Teams {
		if t.Name == "" || seen[t.Name] {
			return fieldErrorf(fmt.Sprintf("params.teams[%d].name", i), "%q is empty or named twice", t.Name)
		}
		seen[t.Name] = true
		if t.GuaranteedCPUs < 0 || t.MaxCPUs < 0 || t.GuaranteedGPUs < 0 || t.MaxGPUs < 0 {
			return fieldErrorf(fmt.Sprintf("params.teams[%d]", i), "an amount is negative")
		}
	}
	if len(p.Teams) == 0 {
		return fieldSubjectErrorf("params.teams", "is empty")
	}
	return nil
}
