package statecache

import (
	"slices"

	"lynxledge/wire"
)

// Member is the record of a live controller. Its key is attached to the controller's lease.
type Member struct {
	Incarnation uint64 `json:"boot"`
	// Capabilities are the kinds of records that the controller can read beyond those that
	// every version can.
	Capabilities []string `json:"can,omitempty"`
	ModRevision  uint64   `json:"-"`
}

// HasCapability reports whether the member announces a capability.
func (m *Member) HasCapability(capability string) bool {
	return slices.Contains(m.Capabilities, capability)
}

// Leader is the record of the leading controller. Its key is attached to that controller's lease.
type Leader struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"boot"`
	Term        uint64 `json:"term"`
	ModRevision uint64 `json:"-"`
}

// Term is the record of the highest leadership term ever used.
type Term struct {
	Number      uint64 `json:"term"`
	ModRevision uint64 `json:"-"`
}

// FirstToken returns the lowest fencing token of a term. Tokens of a term count up from it.
func FirstToken(term uint64) uint64 { return term << termShift }

const termShift = 32

// Assignment names the controller that schedules a team's tasks.
type Assignment struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"boot"`
	ModRevision uint64 `json:"-"`
}

// Membership is the part of a view that holds the controllers: which are live, which of them
// leads, and which one schedules the tasks of each team.
type Membership struct {
	Members     map[string]*Member
	Leader      *Leader
	Term        *Term
	Assignments map[wire.TeamName]*Assignment
}

func newMembership() Membership {
	return Membership{Members: map[string]*Member{}, Assignments: map[wire.TeamName]*Assignment{}}
}

// CurrentTerm returns the highest leadership term seen, or 0.
func (m *Membership) CurrentTerm() uint64 {
	if m.Term == nil {
		return 0
	}
	return m.Term.Number
}

// AllMembersSupport reports whether there are members and all of them announce a capability.
func (m *Membership) AllMembersSupport(capability string) bool {
	for _, member := range m.Members {
		if !member.HasCapability(capability) {
			return false
		}
	}
	return len(m.Members) > 0
}

// AssignmentRevisions returns the revisions of all assignments, by team.
func (m *Membership) AssignmentRevisions() map[wire.TeamName]uint64 {
	revisions := make(map[wire.TeamName]uint64, len(m.Assignments))
	for team, assignment := range m.Assignments {
		revisions[team] = assignment.ModRevision
	}
	return revisions
}

// RequireAssignments makes a commit conditional on the revisions of assignments, given by team.
func (c *Commit) RequireAssignments(revisions map[wire.TeamName]uint64) {
	for team, revision := range revisions {
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: Key(KindAssignment, string(team)), ModRevision: revision})
	}
}
