package election

import (
	"log/slog"
	"slices"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// assignTeams commits the assignments that Assign returns, as many as fit into one transaction.
func (e *Election) assignTeams() {
	c := statecache.Commit{Preconditions: []wire.Precondition{e.leaderPrecondition()}}
	for team, member := range Assign(e.teams.list(), e.view.Assignments, e.view.Members, e.view.Leader.Member) {
		if len(c.Puts) == e.options.MaxTxnOps {
			break
		}
		e.addAssignment(&c, team, member)
		slog.Info("team assigned", "team", team, "member", member)
	}
	if len(c.Puts) > 0 {
		e.commit(c, nil)
	}
}

func (e *Election) addAssignment(c *statecache.Commit, team wire.TeamName, member string) {
	var revision uint64
	if previous := e.view.Assignments[team]; previous != nil {
		revision = previous.ModRevision
	}
	key := statecache.Key(statecache.KindAssignment, string(team))
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key, ModRevision: revision})
	c.Puts = append(c.Puts, statecache.Put{Key: key, Record: &statecache.Assignment{
		Member: member, Incarnation: e.view.Members[member].Incarnation,
	}})
}

// Assign returns the teams whose assignment has to change, with the controller that each of them
// gets. All teams are assigned to the same controller, since the record of a machine group is best
// written by a single controller. They stay with it as long as it is live.
func Assign(teams []wire.TeamName, assignments map[wire.TeamName]*statecache.Assignment, members map[string]*statecache.Member, leader string) map[wire.TeamName]string {
	moves := map[wire.TeamName]string{}
	if len(members) == 0 {
		return moves
	}
	teams = withAssigned(teams, assignments)
	isLive := func(a *statecache.Assignment) bool {
		return a != nil && members[a.Member] != nil && members[a.Member].Incarnation == a.Incarnation
	}
	assigned := map[string]int{} // number of teams assigned to each live controller
	for _, team := range teams {
		if a := assignments[team]; isLive(a) {
			assigned[a.Member]++
		}
	}
	scheduler := chooseScheduler(members, assigned, leader)
	for _, team := range teams {
		if a := assignments[team]; !isLive(a) || a.Member != scheduler {
			moves[team] = scheduler
		}
	}
	return moves
}

// withAssigned returns the teams together with those that have an assignment though they are neither in
// the settings any more nor have jobs. They are assigned like the others: a controller moves machines
// between group records only while all assignments name it (scheduler.ownsAllTeams).
func withAssigned(teams []wire.TeamName, assignments map[wire.TeamName]*statecache.Assignment) []wire.TeamName {
	all := slices.Clone(teams)
	for team := range assignments {
		if !slices.Contains(teams, team) {
			all = append(all, team)
		}
	}
	return all
}

// chooseScheduler returns the member with the most teams assigned. Ties go to a member that is not
// the leader, which has other work to do, and then to the first by name.
func chooseScheduler(members map[string]*statecache.Member, assigned map[string]int, leader string) string {
	best := ""
	for member := range members {
		switch {
		case best == "" || assigned[member] > assigned[best]:
			best = member
		case assigned[member] < assigned[best]:
		case member != leader && (best == leader || member < best):
			best = member
		}
	}
	return best
}
