package statecache

import (
	"encoding/json"
	"strings"

	"lynxledge/wire"
)

// groupLayoutVersion is stored in every record; records of another layout are rejected.
const groupLayoutVersion = 2

// groupDocument is the stored form of a machine group.
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

// encodeMachines encodes the entries of the machines. Entries that are unchanged since the group
// was decoded are reused if the affixes are the same.
func (g *MachineGroup) encodeMachines(a affixes) []string {
	entries := make([]string, len(g.Machines))
	for i, m := range g.Machines {
		if entries[i] = m.encoded; m.encoded == "" || a != g.affixes {
			entries[i] = m.encode(a)
		}
	}
	return entries
}

// decodeGroup decodes a record. Machines whose entries are the same in the group's previous
// record, which may be nil, are shared with it, so that comparing pointers shows what changed.
func decodeGroup(name string, raw json.RawMessage, modRevision uint64, previous *MachineGroup) (*MachineGroup, error) {
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
	if previous != nil && !g.sharesAttributes(previous) {
		previous = nil
	}
	if err := g.decodeMachines(document.Machines, previous); err != nil {
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

// sharesAttributes reports whether all that machines take from their group, the affixes and the
// attributes copied to each machine, is the same in another record.
func (g *MachineGroup) sharesAttributes(other *MachineGroup) bool {
	return other.affixes == g.affixes && other.MachineType == g.MachineType && other.Zone == g.Zone &&
		other.Spot == g.Spot && other.ProvisionedAt == g.ProvisionedAt
}

// decodeMachines decodes the entries of the machines, and reuses the machines of the previous
// record whose entries are equal. Both records are sorted by name.
func (g *MachineGroup) decodeMachines(entries []string, previous *MachineGroup) error {
	g.Machines = make([]*Machine, len(entries))
	var known []*Machine
	if previous != nil {
		known = previous.Machines
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
