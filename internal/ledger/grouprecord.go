package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lynxledge/wire"
)

// affix is what all names, addresses and tokens of a group's rows have in
// common. It stands once in the record.
type affix struct {
	Name string `json:"name,omitempty"` // prefix
	Addr string `json:"addr,omitempty"` // prefix
	Port string `json:"port,omitempty"` // suffix of the addresses
	Base uint64 `json:"base,omitempty"` // tokens count from here
}

// common is the affix of rows.
func common(binds []*Machine) affix {
	var a affix
	first := true
	for i, b := range binds {
		if i == 0 {
			a.Name, a.Base = b.Name, b.Token
		}
		a.Name = b.Name[:prefixLen(a.Name, b.Name)]
		a.Base = min(a.Base, b.Token)
		if b.Addr == "" {
			continue
		}
		host, port, found := strings.Cut(b.Addr, ":")
		if found {
			port = ":" + port
		}
		if first {
			a.Addr, a.Port, first = host, port, false
		}
		a.Addr = host[:prefixLen(a.Addr, host)]
		if port != a.Port {
			a.Port = ""
		}
	}
	a.Base = a.Base >> termBits << termBits // or it would change with every write
	return a
}

func prefixLen(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// layout marks records of this layout; others are refused.
const layout = 2

// ErrLayout says that a record was written in another layout.
var ErrLayout = errors.New("a machine's record is in the layout of another version of lynxledge")

type groupRecord struct {
	Layout int               `json:"v"`
	Same   affix             `json:"same"`
	Type   string            `json:"type"`
	Zone   string            `json:"zone"`
	Spot   bool              `json:"spot,omitempty"`
	At     int64             `json:"at"`
	Rows   []string          `json:"m"`
	Done   map[string]string `json:"done,omitempty"`
	Gone   []string          `json:"gone,omitempty"`
}

// Bytes that parts of a record take at most.
const (
	groupBytes = 160 // besides rows, marks and names
	addrBytes  = 24  // an address that is to come
	rowBytes   = 30  // a machine with nothing bound, as a rule
	taskBytes  = 8   // a bound task, besides its job's name
	markBytes  = 8   // a job's completed tasks, besides their numbers and the job's name

	rowSeparatorBytes = 3 // quotes and a comma
)

// TaskBytes is what binding a task adds to a record.
func TaskBytes(job string) int { return len(job) + taskBytes }

// rows encodes the group's rows. Those that stand in the record it was read
// from are taken over if they leave the same out.
func (g *Group) rows(a affix) []string {
	rows := make([]string, len(g.Machines))
	for i, b := range g.Machines {
		if rows[i] = b.row; b.row == "" || a != g.same {
			rows[i] = b.encode(a)
		}
	}
	return rows
}

// Kept is at most what the record will take once nothing has left lately.
func (g *Group) Kept() int {
	a := common(g.Machines)
	n := groupBytes + len(g.Type) + len(g.Zone) + len(a.Name) + len(a.Addr) + len(a.Port)
	for i, row := range g.rows(a) {
		n += len(row) + rowSeparatorBytes
		if g.Machines[i].Addr == "" {
			n += addrBytes
		}
	}
	for job, ns := range g.Marks {
		n += len(job) + markBytes + len(encodeMarks(ns))
	}
	return n
}

// Size is at most the record's size in bytes.
func (g *Group) Size() int {
	n := g.Kept()
	for i := range g.Departures {
		n += GoneBytes(&g.Departures[i])
	}
	return n
}

// MachinesPer is how many machines a group may begin with so that its record
// stays within limit bytes when each holds some tasks.
func MachinesPer(limit int, tasksEach float64) int {
	each := rowBytes + tasksEach*(float64(len(jobPrefix))+6+taskBytes)
	return max(1, int(float64(limit-groupBytes)/each))
}

// MarshalJSON writes the record.
func (g *Group) MarshalJSON() ([]byte, error) {
	a := common(g.Machines)
	r := groupRecord{Layout: layout, Same: a, Type: g.Type, Zone: g.Zone, Spot: g.Spot, At: g.At, Rows: g.rows(a)}
	if len(g.Marks) > 0 {
		r.Done = make(map[string]string, len(g.Marks))
		for job, ns := range g.Marks {
			r.Done[job[len(jobPrefix):]] = encodeMarks(ns)
		}
	}
	for i := range g.Departures {
		r.Gone = append(r.Gone, encodeGone(&g.Departures[i]))
	}
	return json.Marshal(r)
}

// decodeGroup reads a record. Rows that stand in old as they are here are
// taken over, so that what changed can be told by comparing pointers.
func decodeGroup(name string, raw json.RawMessage, stamp uint64, old *Group) (*Group, error) {
	var r groupRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, err
	}
	if r.Layout != layout {
		return nil, ErrLayout
	}
	g := &Group{Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, At: r.At, Stamp: stamp, Machines: make([]*Machine, len(r.Rows)), same: r.Same}
	if old != nil && (old.same != g.same || old.Type != g.Type || old.Zone != g.Zone || old.Spot != g.Spot || old.At != g.At) {
		old = nil
	}
	k := 0
	for i, row := range r.Rows {
		machine, _, _ := strings.Cut(row, " ")
		machine = r.Same.Name + machine
		for old != nil && k < len(old.Machines) && old.Machines[k].Name < machine {
			k++
		}
		if old != nil && k < len(old.Machines) && old.Machines[k].row == row {
			g.Machines[i] = old.Machines[k]
			continue
		}
		b, err := decodeRow(row, r.Same)
		if err != nil {
			return nil, err
		}
		b.Group, b.Type, b.Zone, b.Spot, b.At = name, g.Type, g.Zone, g.Spot, g.At
		g.Machines[i] = b
	}
	if len(r.Done) > 0 {
		g.Marks = make(map[string][]int, len(r.Done))
		for job, s := range r.Done {
			ns, err := decodeMarks(s)
			if err != nil {
				return nil, err
			}
			g.Marks[jobPrefix+job] = ns
		}
	}
	for _, s := range r.Gone {
		gone, err := decodeGone(s)
		if err != nil {
			return nil, err
		}
		g.Departures = append(g.Departures, gone)
	}
	return g, nil
}

// Jobs stand in rows without what all their names begin with.
const jobPrefix = "req-"

const none = "-"

// encode writes a row, without what all have in common: name, address, session, token, flags and drain, then
// the tasks, each with its attempt and perhaps its stop. Tokens are written in
// base 36; attempts and stops as what they lie below the row's token.
func (b *Machine) encode(a affix) string {
	s := make([]byte, 0, 64+24*len(b.Tasks))
	s = append(s, b.Name[len(a.Name):]...)
	s = append(s, ' ')
	if b.Addr == "" {
		s = append(s, none...)
	} else {
		s = append(s, b.Addr[len(a.Addr):len(b.Addr)-len(a.Port)]...)
	}
	s = append(s, ' ')
	s = strconv.AppendUint(s, b.Session, 10)
	s = append(s, ' ')
	s = strconv.AppendUint(s, b.Token-a.Base, 36)
	s = append(s, ' ')
	at := len(s)
	if b.Suspected {
		s = append(s, 'q')
	}
	if b.Closed {
		s = append(s, 'c')
	}
	if b.Drain != "" {
		s = append(s, ':')
		s = append(s, strings.ReplaceAll(b.Drain, " ", "-")...)
	}
	if len(s) == at {
		s = append(s, none...)
	}
	for i := range b.Tasks {
		t := &b.Tasks[i]
		s = append(s, ' ')
		s = append(s, t.Job[len(jobPrefix):]...)
		s = append(s, '/')
		s = strconv.AppendInt(s, int64(t.N), 10)
		s = append(s, '.')
		s = strconv.AppendUint(s, b.Token-t.Attempt, 36)
		if t.Stop > 0 {
			s = append(s, '!')
			s = strconv.AppendUint(s, b.Token-t.Stop, 36)
			s = append(s, ',')
			s = strconv.AppendInt(s, int64(t.Grace), 10)
		}
	}
	return string(s)
}

func decodeRow(row string, a affix) (*Machine, error) {
	f := strings.Split(row, " ")
	if len(f) < 5 {
		return nil, fmt.Errorf("row %.80q", row)
	}
	b := &Machine{Name: a.Name + f[0], row: row}
	if f[1] != none {
		b.Addr = a.Addr + f[1] + a.Port
	}
	var err, err2 error
	b.Session, err = strconv.ParseUint(f[2], 10, 64)
	b.Token, err2 = strconv.ParseUint(f[3], 36, 64)
	if err = errors.Join(err, err2); err != nil {
		return nil, err
	}
	b.Token += a.Base
	if f[4] != none {
		flags, drain, _ := strings.Cut(f[4], ":")
		b.Suspected, b.Closed, b.Drain = strings.Contains(flags, "q"), strings.Contains(flags, "c"), drain
	}
	if len(f) > 5 {
		b.Tasks = make([]BoundTask, len(f)-5)
	}
	for i, s := range f[5:] {
		if b.Tasks[i], err = decodeTask(s, b.Token); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func decodeTask(s string, token uint64) (BoundTask, error) {
	name, rest, _ := strings.Cut(s, ".")
	job, n, ok := wire.SplitTask(jobPrefix + name)
	if !ok {
		return BoundTask{}, fmt.Errorf("task %.40q", s)
	}
	attempt, stop, stopped := strings.Cut(rest, "!")
	d, err := strconv.ParseUint(attempt, 36, 64)
	t := BoundTask{Job: job, N: n, Attempt: token - d}
	if stopped && err == nil {
		at, grace, _ := strings.Cut(stop, ",")
		if d, err = strconv.ParseUint(at, 36, 64); err == nil {
			t.Stop = token - d
			t.Grace, err = strconv.Atoi(grace)
		}
	}
	return t, err
}

// encodeMarks writes sorted task numbers as ranges: "3,5-9".
func encodeMarks(ns []int) string {
	var s []byte
	for i := 0; i < len(ns); {
		k := i
		for k+1 < len(ns) && ns[k+1] == ns[k]+1 {
			k++
		}
		if i > 0 {
			s = append(s, ',')
		}
		s = strconv.AppendInt(s, int64(ns[i]), 10)
		if k > i {
			s = append(s, '-')
			s = strconv.AppendInt(s, int64(ns[k]), 10)
		}
		i = k + 1
	}
	return string(s)
}

func decodeMarks(s string) ([]int, error) {
	var ns []int
	for part := range strings.SplitSeq(s, ",") {
		from, to, isRange := strings.Cut(part, "-")
		a, err := strconv.Atoi(from)
		b := a
		if isRange && err == nil {
			b, err = strconv.Atoi(to)
		}
		if err != nil || a < 0 || b < a || b >= wire.MaxTasks {
			return nil, fmt.Errorf("marks %.40q", s)
		}
		for n := a; n <= b; n++ {
			ns = append(ns, n)
		}
	}
	return ns, nil
}

// GoneBytes is what a task that left adds to a record.
func GoneBytes(g *Departure) int { return len(encodeGone(g)) + rowSeparatorBytes }

func encodeGone(g *Departure) string {
	why := strings.ReplaceAll(g.Why, " ", "-") // a worker's word, perhaps an unknown one
	s := g.Machine + " " + g.Job[len(jobPrefix):] + "/" + strconv.Itoa(g.N) + " " + why
	if g.RanS > 0 {
		s += " " + strconv.FormatFloat(g.RanS, 'f', 1, 64)
	}
	return s
}

func decodeGone(s string) (Departure, error) {
	f := strings.Split(s, " ")
	if len(f) < 3 {
		return Departure{}, fmt.Errorf("gone %.80q", s)
	}
	job, n, ok := wire.SplitTask(jobPrefix + f[1])
	if !ok {
		return Departure{}, fmt.Errorf("gone %.80q", s)
	}
	g := Departure{Machine: f[0], Job: job, N: n, Why: f[2]}
	if len(f) > 3 {
		var err error
		if g.RanS, err = strconv.ParseFloat(f[3], 64); err != nil {
			return g, err
		}
	}
	return g, nil
}
