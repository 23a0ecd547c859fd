package scheduler

import (
	"maps"
	"slices"

	"lynxledge/internal/statecache"
)

// uncertainCommit is a commit of bindings that may have been executed, or may still be, although the
// view does not show it: an attempt got no response, and the store rejected a retry for good. It
// holds the revisions that the commit requires of the group records that it updates.
type uncertainCommit map[string]uint64

// isSettled reports whether the view shows that the commit can't be executed any more: one of the
// records has changed, and if the commit changed it, the view includes the commit.
func (u uncertainCommit) isSettled(view *statecache.View) bool {
	for name, revision := range u {
		if group := view.Groups[name]; group == nil || group.ModRevision != revision {
			return true
		}
	}
	return false
}

// rememberUncertain notes that the outcome of the cycle's commit is unknown. Without bindings the
// commit is no danger: its preconditions protect all else that it changes.
func (s *schedulingState) rememberUncertain(c *cycle) {
	if len(c.placed) == 0 {
		return
	}
	uncertain := uncertainCommit{}
	for name, update := range c.groupUpdates {
		uncertain[name] = update.ModRevision
	}
	s.uncertainCommits = append(s.uncertainCommits, uncertain)
}

// excludeUncertainCommits makes the cycle's commit conflict with every uncertain commit, by updating
// a record that the latter updates as well: only one of the two can be executed. It returns false if
// the transaction has no room for that. Tasks must not be bound then, since those that look unbound
// may be bound by an uncertain commit.
func (c *cycle) excludeUncertainCommits() bool {
	c.uncertainCommits = slices.DeleteFunc(c.uncertainCommits, func(u uncertainCommit) bool { return u.isSettled(c.view) })
	for _, uncertain := range c.uncertainCommits {
		if !slices.ContainsFunc(slices.Sorted(maps.Keys(uncertain)), func(group string) bool { return c.openGroup(group) != nil }) {
			return false
		}
	}
	return true
}
