package statecache

import (
	"encoding/json"
	"errors"
	"strings"

	"lynxledge/wire"
)

// affixes is what all names, addresses and tokens of a group's rows have in
// common. It stands once in the record.
type affixes struct {
	Name      string `json:"name,omitempty"` // prefix
	Address   string `json:"addr,omitempty"` // prefix
	Port      string `json:"port,omitempty"` // suffix of the addresses
	TokenBase uint64 `json:"base,omitempty"` // tokens count from here
}

// commonAffixes is the affix of rows.
func commonAffixes(binds []*Machine) affixes {
	var a affixes
	first := true
	for i, b := range binds {
		if i == 0 {
			a.Name, a.TokenBase = string(b.Name), b.FencingToken
		}
		a.Name = string(b.Name)[:prefixLen(a.Name, string(b.Name))]
		a.TokenBase = min(a.TokenBase, b.FencingToken)
		if b.Address == "" {
			continue
		}
		host, port, found := strings.Cut(b.Address, ":")
		if found {
			port = ":" + port
		}
		if first {
			a.Address, a.Port, first = host, port, false
		}
		a.Address = host[:prefixLen(a.Address, host)]
		if port != a.Port {
			a.Port = ""
		}
	}
	a.TokenBase = a.TokenBase >> termShift << termShift // or it would change with every write
	return a
}

func prefixLen(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// groupLayoutVersion marks records of this layout; others are refused.
const groupLayoutVersion = 2

// ErrUnknownLayout says that a record was written in another layout.
var ErrUnknownLayout = errors.New("a machine's record is in the layout of another version of lynxledge")

type groupDocument struct {
	Layout        int               `json:"v"`
	Affixes       affixes           `json:"same"`
	MachineType   string            `json:"type"`
	Zone          wire.Zone         `json:"zone"`
	Spot          bool              `json:"spot,omitempty"`
	ProvisionedAt int64             `json:"at"`
	Machines      []string          `json:"m"`
	Completions   map[string]string `json:"done,omitempty"`
	Terminations  []string          `json:"gone,omitempty"`
}

// Bytes that parts of a record take at most.
const (
	groupOverheadBytes      = 160 // besides rows, marks and names
	pendingAddressBytes     = 24  // an address that is to come
	machineOverheadBytes    = 30  // a machine with nothing bound, as a rule
	bindingOverheadBytes    = 8   // a bound task, besides its job's name
	completionOverheadBytes = 8   // a job's completed tasks, besides their numbers and the job's name

	machineSeparatorBytes = 3 // quotes and a comma
)

// BindingBytes is what binding a task adds to a record.
func BindingBytes(job wire.JobID) int { return len(job) + bindingOverheadBytes }

// encodeMachines encodes the group's rows. Those that stand in the record it was read
// from are taken over if they leave the same out.
func (g *MachineGroup) encodeMachines(a affixes) []string {
	rows := make([]string, len(g.Machines))
	for i, b := range g.Machines {
		if rows[i] = b.encoded; b.encoded == "" || a != g.affixes {
			rows[i] = b.encode(a)
		}
	}
	return rows
}

// RetainedSize is at most what the record will take once nothing has left lately.
func (g *MachineGroup) RetainedSize() int {
	a := commonAffixes(g.Machines)
	n := groupOverheadBytes + len(g.MachineType) + len(g.Zone) + len(a.Name) + len(a.Address) + len(a.Port)
	for i, row := range g.encodeMachines(a) {
		n += len(row) + machineSeparatorBytes
		if g.Machines[i].Address == "" {
			n += pendingAddressBytes
		}
	}
	for job, ns := range g.Completions {
		n += len(job) + completionOverheadBytes + len(encodeCompletions(ns))
	}
	return n
}

// EncodedSize is at most the record's size in bytes.
func (g *MachineGroup) EncodedSize() int {
	n := g.RetainedSize()
	for i := range g.Terminations {
		n += TerminationBytes(&g.Terminations[i])
	}
	return n
}

// MachinesPerGroup is how many machines a group may begin with so that its record
// stays within limit bytes when each holds some tasks.
func MachinesPerGroup(limit int, tasksEach float64) int {
	each := machineOverheadBytes + tasksEach*(float64(len(jobPrefix))+6+bindingOverheadBytes)
	return max(1, int(float64(limit-groupOverheadBytes)/each))
}

// MarshalJSON writes the record.
func (g *MachineGroup) MarshalJSON() ([]byte, error) {
	a := commonAffixes(g.Machines)
	r := groupDocument{Layout: groupLayoutVersion, Affixes: a, MachineType: g.MachineType, Zone: g.Zone, Spot: g.Spot, ProvisionedAt: g.ProvisionedAt, Machines: g.encodeMachines(a)}
	if len(g.Completions) > 0 {
		r.Completions = make(map[string]string, len(g.Completions))
		for job, ns := range g.Completions {
			r.Completions[string(job)[len(jobPrefix):]] = encodeCompletions(ns)
		}
	}
	for i := range g.Terminations {
		r.Terminations = append(r.Terminations, encodeTermination(&g.Terminations[i]))
	}
	return json.Marshal(r)
}

// decodeGroup reads a record. Rows that stand in old as they are here are
// taken over, so that what changed can be told by comparing pointers.
func decodeGroup(name string, raw json.RawMessage, stamp uint64, old *MachineGroup) (*MachineGroup, error) {
	var r groupDocument
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, err
	}
	if r.Layout != groupLayoutVersion {
		return nil, ErrUnknownLayout
	}
	g := &MachineGroup{Name: name, MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, ProvisionedAt: r.ProvisionedAt, ModRevision: stamp, Machines: make([]*Machine, len(r.Machines)), affixes: r.Affixes}
	if old != nil && (old.affixes != g.affixes || old.MachineType != g.MachineType || old.Zone != g.Zone || old.Spot != g.Spot || old.ProvisionedAt != g.ProvisionedAt) {
		old = nil
	}
	k := 0
	for i, row := range r.Machines {
		machine, _, _ := strings.Cut(row, " ")
		machine = r.Affixes.Name + machine
		for old != nil && k < len(old.Machines) && string(old.Machines[k].Name) < machine {
			k++
		}
		if old != nil && k < len(old.Machines) && old.Machines[k].encoded == row {
			g.Machines[i] = old.Machines[k]
			continue
		}
		b, err := decodeMachine(row, r.Affixes)
		if err != nil {
			return nil, err
		}
		b.Group, b.MachineType, b.Zone, b.Spot, b.ProvisionedAt = name, g.MachineType, g.Zone, g.Spot, g.ProvisionedAt
		g.Machines[i] = b
	}
	if len(r.Completions) > 0 {
		g.Completions = make(map[wire.JobID][]int, len(r.Completions))
		for job, s := range r.Completions {
			ns, err := decodeCompletions(s)
			if err != nil {
				return nil, err
			}
			g.Completions[wire.JobID(jobPrefix+job)] = ns
		}
	}
	for _, s := range r.Terminations {
		gone, err := decodeTermination(s)
		if err != nil {
			return nil, err
		}
		g.Terminations = append(g.Terminations, gone)
	}
	return g, nil
}
