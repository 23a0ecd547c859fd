package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lynxledge/wire"
)

// Group is the record of machines that were rented together. One write holds
// all that starts and ends on them at about the same time, so the rate of
// writes doesn't grow with the number of tasks.
type Group struct {
	Name  string
	Type  string
	Zone  string
	Spot  bool
	At    int64   // time of day of the rental, ms
	Binds []*Bind // by name
	// Marks are completed tasks of jobs that are not over, until they are
	// folded into the jobs' done sets.
	Marks map[string][]int
	Gone  []Gone // tasks that left with this write
	Stamp uint64

	same affix // what the rows of the record leave out
}

// affix is what all names, addresses and tokens of a group's rows have in
// common. It stands once in the record.
type affix struct {
	Name string `json:"name,omitempty"` // prefix
	Addr string `json:"addr,omitempty"` // prefix
	Port string `json:"port,omitempty"` // suffix of the addresses
	Base uint64 `json:"base,omitempty"` // tokens count from here
}

// common is the affix of rows.
func common(binds []*Bind) affix {
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

// Gone tells why a task left its machine.
type Gone struct {
	Machine string
	Job     string
	N       int
	Why     string
	RanS    float64 // 0: not known
}

// Task is the task's name.
func (g *Gone) Task() string { return wire.TaskName(g.Job, g.N) }

// Why a task left its machine, besides the workers' own reasons.
const (
	WhySession = "session_lost"
	WhyNever   = "never_started"
)

// Bind is one machine of a group and all that is bound to it. It is never
// written to once it is part of a record.
type Bind struct {
	Name    string
	Group   string
	Type    string
	Zone    string
	Spot    bool
	At      int64 // time of day of the rental, ms
	Addr    string
	Session uint64 // 0: never reported
	Token   uint64
	Tasks   []Bound
	Drain   string // why nothing new may be bound
	Closed  bool
	// Quiet: the leader hears nothing of the machine, or it doesn't hear us.
	// A report that has seen this record's token takes the mark away; a machine
	// is returned as silent only with the mark.
	Quiet bool

	row string // as it stands in the record
}

// Open tells whether tasks may be bound to the machine.
func (b *Bind) Open() bool { return b.Session > 0 && b.Drain == "" && !b.Closed && !b.Quiet }

// Find returns the bound task of this name, or nil.
func (b *Bind) Find(job string, n int) *Bound {
	for i := range b.Tasks {
		if t := &b.Tasks[i]; t.N == n && t.Job == job {
			return t
		}
	}
	return nil
}

// Left lists the tasks of old that a machine's next row lacks; either may be
// nil.
func Left(old, next *Bind) []*Bound {
	var out []*Bound
	if old == nil {
		return out
	}
	for i := range old.Tasks {
		if t := &old.Tasks[i]; next == nil || next.Find(t.Job, t.N) == nil {
			out = append(out, t)
		}
	}
	return out
}

// next copies the row for a rewrite, with a higher token.
func (b *Bind) next(term uint64) *Bind {
	n := *b
	n.Tasks = append([]Bound(nil), b.Tasks...)
	n.Token = max(b.Token+1, Token(term))
	n.row = ""
	return &n
}

// Draft is the next record of a group in the making.
type Draft struct {
	Group
	term  uint64
	fresh map[string]*Bind // rows rewritten
}

// Draft begins the next record of a group.
func (v *View) Draft(name string) *Draft {
	d := &Draft{Group: *v.Groups[name], term: v.CurrentTerm(), fresh: map[string]*Bind{}}
	d.Binds = slices.Clone(d.Binds)
	d.Gone = nil
	d.Marks = make(map[string][]int, len(d.Marks))
	for job, ns := range v.Groups[name].Marks {
		if v.Active(job) {
			d.Marks[job] = ns
		}
	}
	return d
}

// Edit is a machine's row, to be changed: its token is higher than before.
func (d *Draft) Edit(machine string) *Bind {
	if b := d.fresh[machine]; b != nil {
		return b
	}
	i, ok := d.index(machine)
	if !ok {
		return nil
	}
	b := d.Binds[i].next(d.term)
	d.Binds[i], d.fresh[machine] = b, b
	return b
}

// Drop takes a machine out that is gone.
func (d *Draft) Drop(machine string) {
	if i, ok := d.index(machine); ok {
		d.Binds = slices.Delete(d.Binds, i, i+1)
	}
}

// AdoptedName names the group of a machine that was found, not rented. A late
// copy of the commit that made it must find it still there: only what is rented
// is guarded on an intent besides, so an adopted machine's group is not absorbed.
func AdoptedName(machine string) string { return adoptedPrefix + machine }

const adoptedPrefix = "a."

// Lasting tells whether the group must keep its key while it has machines.
func (d *Draft) Lasting() bool { return strings.HasPrefix(d.Name, adoptedPrefix) }

// Settled tells whether all machines of the group have been up: from then on
// nothing but the billing of idle ones asks when they were rented.
func (d *Draft) Settled() bool {
	return !slices.ContainsFunc(d.Binds, func(b *Bind) bool { return b.Session == 0 })
}

// Absorb takes over everything of another group of the same pool, whose record
// is to go with the same commit. Every group costs writes of its own, and what
// is rented in place of lost machines would stay in groups of one.
func (d *Draft) Absorb(o *Draft) {
	for _, b := range o.Binds {
		n := *b
		n.row = "" // leaves out what the other group's rows had in common
		i, _ := d.index(n.Name)
		d.Binds = slices.Insert(d.Binds, i, &n)
	}
	for job, ns := range o.Marks {
		for _, n := range ns {
			d.Mark(job, n)
		}
	}
	d.Gone = append(d.Gone, o.Gone...)
	d.At = min(d.At, o.At)
}

// Mark notes a completed task.
func (d *Draft) Mark(job string, n int) {
	ns := d.Marks[job]
	if i, ok := slices.BinarySearch(ns, n); !ok {
		d.Marks[job] = slices.Insert(slices.Clone(ns), i, n)
	}
}

func (d *Draft) index(machine string) (int, bool) {
	return slices.BinarySearchFunc(d.Binds, machine, func(b *Bind, m string) int { return strings.Compare(b.Name, m) })
}

// Fit drops what is only worth knowing until the record is within limit
// bytes; false when it can't be made to fit.
func (d *Draft) Fit(limit int) bool {
	size := d.Size()
	for size > limit && len(d.Gone) > 0 {
		size -= GoneBytes(&d.Gone[len(d.Gone)-1])
		d.Gone = d.Gone[:len(d.Gone)-1]
	}
	return size <= limit
}

// Empty tells whether nothing is left that has to be kept.
func (d *Draft) Empty() bool { return len(d.Binds) == 0 && len(d.Marks) == 0 }

// Remove makes the removal of an absorbed group part of a commit.
func (d *Draft) Remove(c *Commit) {
	key := Key(KindBind, d.Name)
	c.Guards = append(c.Guards, wire.Guard{Key: key, Version: d.Stamp})
	c.Delete = append(c.Delete, key)
}

// AddTo makes the rewrite part of a commit, guarded on the group as it was.
func (d *Draft) AddTo(c *Commit) {
	if d.Empty() {
		d.Remove(c)
		return
	}
	key := Key(KindBind, d.Name)
	c.Guards = append(c.Guards, wire.Guard{Key: key, Version: d.Stamp})
	c.Puts = append(c.Puts, Put{Key: key, Rec: &d.Group})
}

// NewGroup makes the first record of machines; names must be sorted.
func NewGroup(name, typ, zone string, spot bool, at int64, machines []string, token uint64) *Group {
	g := &Group{Name: name, Type: typ, Zone: zone, Spot: spot, At: at}
	for _, m := range machines {
		g.Binds = append(g.Binds, &Bind{Name: m, Token: token})
	}
	return g
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
	rows := make([]string, len(g.Binds))
	for i, b := range g.Binds {
		if rows[i] = b.row; b.row == "" || a != g.same {
			rows[i] = b.encode(a)
		}
	}
	return rows
}

// Kept is at most what the record will take once nothing has left lately.
func (g *Group) Kept() int {
	a := common(g.Binds)
	n := groupBytes + len(g.Type) + len(g.Zone) + len(a.Name) + len(a.Addr) + len(a.Port)
	for i, row := range g.rows(a) {
		n += len(row) + rowSeparatorBytes
		if g.Binds[i].Addr == "" {
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
	for i := range g.Gone {
		n += GoneBytes(&g.Gone[i])
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
	a := common(g.Binds)
	r := groupRecord{Layout: layout, Same: a, Type: g.Type, Zone: g.Zone, Spot: g.Spot, At: g.At, Rows: g.rows(a)}
	if len(g.Marks) > 0 {
		r.Done = make(map[string]string, len(g.Marks))
		for job, ns := range g.Marks {
			r.Done[job[len(jobPrefix):]] = encodeMarks(ns)
		}
	}
	for i := range g.Gone {
		r.Gone = append(r.Gone, encodeGone(&g.Gone[i]))
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
	g := &Group{Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, At: r.At, Stamp: stamp, Binds: make([]*Bind, len(r.Rows)), same: r.Same}
	if old != nil && (old.same != g.same || old.Type != g.Type || old.Zone != g.Zone || old.Spot != g.Spot || old.At != g.At) {
		old = nil
	}
	k := 0
	for i, row := range r.Rows {
		machine, _, _ := strings.Cut(row, " ")
		machine = r.Same.Name + machine
		for old != nil && k < len(old.Binds) && old.Binds[k].Name < machine {
			k++
		}
		if old != nil && k < len(old.Binds) && old.Binds[k].row == row {
			g.Binds[i] = old.Binds[k]
			continue
		}
		b, err := decodeRow(row, r.Same)
		if err != nil {
			return nil, err
		}
		b.Group, b.Type, b.Zone, b.Spot, b.At = name, g.Type, g.Zone, g.Spot, g.At
		g.Binds[i] = b
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
		g.Gone = append(g.Gone, gone)
	}
	return g, nil
}

// Jobs stand in rows without what all their names begin with.
const jobPrefix = "req-"

const none = "-"

// encode writes a row, without what all have in common: name, address, session, token, flags and drain, then
// the tasks, each with its attempt and perhaps its stop. Tokens are written in
// base 36; attempts and stops as what they lie below the row's token.
func (b *Bind) encode(a affix) string {
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
	if b.Quiet {
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

func decodeRow(row string, a affix) (*Bind, error) {
	f := strings.Split(row, " ")
	if len(f) < 5 {
		return nil, fmt.Errorf("row %.80q", row)
	}
	b := &Bind{Name: a.Name + f[0], row: row}
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
		b.Quiet, b.Closed, b.Drain = strings.Contains(flags, "q"), strings.Contains(flags, "c"), drain
	}
	if len(f) > 5 {
		b.Tasks = make([]Bound, len(f)-5)
	}
	for i, s := range f[5:] {
		if b.Tasks[i], err = decodeTask(s, b.Token); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func decodeTask(s string, token uint64) (Bound, error) {
	name, rest, _ := strings.Cut(s, ".")
	job, n, ok := wire.SplitTask(jobPrefix + name)
	if !ok {
		return Bound{}, fmt.Errorf("task %.40q", s)
	}
	attempt, stop, stopped := strings.Cut(rest, "!")
	d, err := strconv.ParseUint(attempt, 36, 64)
	t := Bound{Job: job, N: n, Attempt: token - d}
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
func GoneBytes(g *Gone) int { return len(encodeGone(g)) + rowSeparatorBytes }

func encodeGone(g *Gone) string {
	why := strings.ReplaceAll(g.Why, " ", "-") // a worker's word, perhaps an unknown one
	s := g.Machine + " " + g.Job[len(jobPrefix):] + "/" + strconv.Itoa(g.N) + " " + why
	if g.RanS > 0 {
		s += " " + strconv.FormatFloat(g.RanS, 'f', 1, 64)
	}
	return s
}

func decodeGone(s string) (Gone, error) {
	f := strings.Split(s, " ")
	if len(f) < 3 {
		return Gone{}, fmt.Errorf("gone %.80q", s)
	}
	job, n, ok := wire.SplitTask(jobPrefix + f[1])
	if !ok {
		return Gone{}, fmt.Errorf("gone %.80q", s)
	}
	g := Gone{Machine: f[0], Job: job, N: n, Why: f[2]}
	if len(f) > 3 {
		var err error
		if g.RanS, err = strconv.ParseFloat(f[3], 64); err != nil {
			return g, err
		}
	}
	return g, nil
}
