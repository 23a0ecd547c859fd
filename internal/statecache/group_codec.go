package statecache

import (
	"encoding/json"
	"strings"

	"lynxledge/wire"
)

// groupLayoutVersion marks records of this layout; others are refused.
const groupLayoutVersion = 2

// groupDocument is the stored form of a group.
type groupDocument struct {
	Layout        int               `json:"v"`
	Affixes       affixes           `json:"same"`
	MachineType   string            `json:"type"`
	Zone          wire.Zone         `json:"zone"`
	Spot          bool              `json:"spot,omitempty"`
	ProvisionedAt Timestamp         `json:"at"`
	Machines      []string          `json:"m"`
	Completions   map[string]string `json:"done,omitempty"`
	Terminations  []string          `json:"gone,omitempty"`
}

// MarshalJSON encodes the record.
func (g *MachineGroup) MarshalJSON() ([]byte, error) {
	a := commonAffixes(g.Machines)
	document := groupDocument{
		Layout: groupLayoutVersion, Affixes: a, MachineType: g.MachineType, Zone: g.Zone, Spot: g.Spot,
		ProvisionedAt: g.ProvisionedAt, Machines: g.encodeMachines(a),
	}
	if len(g.Completions) > 0 {
		document.Completions = make(map[string]string, len(g.Completions))
		for job, tasks := range g.Completions {
			document.Completions[string(job)[len(jobPrefix):]] = encodeCompletions(tasks)
		}
	}
	for i := range g.Terminations {
		document.Terminations = append(document.Terminations, encodeTermination(&g.Terminations[i]))
	}
	return json.Marshal(document)
}

// encodeMachines encodes the entries of the machines. Those that the record had which the group
// was decoded from are reused if the affixes are the same.
func (g *MachineGroup) encodeMachines(a affixes) []string {
	entries := make([]string, len(g.Machines))
	for i, m := range g.Machines {
		if entries[i] = m.encoded; m.encoded == "" || a != g.affixes {
			entries[i] = m.encode(a)
		}
	}
	return entries
}

// decodeGroup decodes a record. Machines whose entries are the same in the group's former record,
// which may be nil, are shared with it: what changed can be told by comparing pointers.
func decodeGroup(name string, raw json.RawMessage, modRevision uint64, former *MachineGroup) (*MachineGroup, error) {
	var document groupDocument
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, err
	}
	if document.Layout != groupLayoutVersion {
		return nil, ErrUnknownLayout
	}
	g := &MachineGroup{
		Name: name, MachineType: document.MachineType, Zone: document.Zone, Spot: document.Spot,
		ProvisionedAt: document.ProvisionedAt, ModRevision: modRevision, affixes: document.Affixes,
	}
	if former != nil && !g.sharesAttributes(former) {
		former = nil
	}
	if err := g.decodeMachines(document.Machines, former); err != nil {
		return nil, err
	}
	if err := g.decodeCompletions(document.Completions); err != nil {
		return nil, err
	}
	for _, s := range document.Terminations {
		termination, err := decodeTermination(s)
		if err != nil {
			return nil, err
		}
		g.Terminations = append(g.Terminations, termination)
	}
	return g, nil
}

// sharesAttributes tells whether all that machines take from their group is the same in another
// record.
func (g *MachineGroup) sharesAttributes(other *MachineGroup) bool {
	return other.affixes == g.affixes && other.MachineType == g.MachineType && other.Zone == g.Zone &&
		other.Spot == g.Spot && other.ProvisionedAt == g.ProvisionedAt
}

// decodeMachines decodes the entries of the machines, except those that the former record has.
// Both are sorted by name.
func (g *MachineGroup) decodeMachines(entries []string, former *MachineGroup) error {
	g.Machines = make([]*Machine, len(entries))
	var known []*Machine
	if former != nil {
		known = former.Machines
	}
	for i, entry := range entries {
		suffix, _, _ := strings.Cut(entry, " ")
		name := g.affixes.Name + suffix
		for len(known) > 0 && string(known[0].Name) < name {
			known = known[1:]
		}
		if len(known) > 0 && known[0].encoded == entry {
			g.Machines[i] = known[0]
			continue
		}
		m, err := decodeMachine(entry, g.affixes)
		if err != nil {
			return err
		}
		m.Group, m.MachineType, m.Zone, m.Spot, m.ProvisionedAt = g.Name, g.MachineType, g.Zone, g.Spot, g.ProvisionedAt
		g.Machines[i] = m
	}
	return nil
}

func (g *MachineGroup) decodeCompletions(encoded map[string]string) error {
	if len(encoded) == 0 {
		return nil
	}
	g.Completions = make(map[wire.JobID][]int, len(encoded))
	for job, s := range encoded {
		tasks, err := decodeCompletions(s)
		if err != nil {
			return err
		}
		g.Completions[wire.JobID(jobPrefix+job)] = tasks
	}
	return nil
}
