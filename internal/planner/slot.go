package planner

import (
	"math"
	"slices"
	"strings"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// capacitySlot is a machine there is, and when the tasks on it, or meant for it, end.
type capacitySlot struct {
	machine     *Machine
	pool        int // index among the pools that there are machines of
	machineType *wire.MachineType
	readyAt     float64   // seconds from now until it takes tasks
	taskEnds    []taskEnd // in order of time
	taken       bool
}

type taskEnd struct{ endsAt, share float64 }

// free is the earliest time at which a share of the machine is free.
func (s *capacitySlot) free(share float64) float64 {
	room := 1.0
	for _, e := range s.taskEnds {
		room -= e.share
	}
	at := s.readyAt
	for _, e := range s.taskEnds {
		if room >= share-1e-6 {
			break
		}
		room += e.share
		at = math.Max(at, e.endsAt)
	}
	if room < share-1e-6 {
		return math.Inf(1)
	}
	return at
}

func (s *capacitySlot) add(at, share float64) {
	i, _ := slices.BinarySearchFunc(s.taskEnds, at, func(e taskEnd, at float64) int {
		switch {
		case e.endsAt < at:
			return -1
		case e.endsAt > at:
			return 1
		}
		return 0
	})
	s.taskEnds = slices.Insert(s.taskEnds, i, taskEnd{at, share})
}

// slots finds the machines there are, and when their tasks end.
func (p *planning) slots() {
	for i := range p.Machines {
		m := &p.Machines[i]
		t := p.machineTypes[m.Pool.MachineType]
		if t == nil || !m.Schedulable {
			continue
		}
		s := &capacitySlot{machine: m, pool: p.poolIndex(m.Pool), machineType: t, readyAt: m.ReadyIn, taken: len(m.Tasks) > 0}
		for _, h := range m.Tasks {
			s.add(h.Remaining, resources.OfTask(h.Job).Share(resources.OfMachineType(t)))
		}
		p.room = append(p.room, s)
	}
	// Machines in use are filled first, so that idle ones can go back.
	slices.SortStableFunc(p.room, func(a, b *capacitySlot) int {
		if a.taken != b.taken {
			if a.taken {
				return -1
			}
			return 1
		}
		if d := len(b.taskEnds) - len(a.taskEnds); d != 0 {
			return d
		}
		return strings.Compare(string(a.machine.Name), string(b.machine.Name))
	})
}

// poolIndex is the place of a pool among those that there are machines of.
func (p *planning) poolIndex(pool resources.Pool) int {
	i, known := p.heldIndex[pool]
	if !known {
		i = len(p.held)
		p.held = append(p.held, pool)
		p.heldIndex[pool] = i
	}
	return i
}
