package election

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// After an assignment all teams belong to one live controller, which is one that already had teams
// if there was any, and a second assignment changes nothing. That includes teams that are not listed any
// more but have an assignment: guards against full records that no controller may split, since not all
// teams are assigned to it.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[string]*statecache.Member{}
		for i := range rapid.IntRange(1, 5).Draw(t, "members") {
			members[fmt.Sprint("m", i)] = &statecache.Member{Incarnation: uint64(i + rapid.IntRange(0, 1).Draw(t, "incarnation")*10)}
		}
		assignments := map[wire.TeamName]*statecache.Assignment{}
		var teams []wire.TeamName
		for i := range rapid.IntRange(1, 8).Draw(t, "teams") {
			team := wire.TeamName(fmt.Sprint("t", i))
			if i == 0 || rapid.IntRange(0, 3).Draw(t, "removed") > 0 {
				teams = append(teams, team)
			}
			if m := rapid.IntRange(0, 6).Draw(t, "assigned to"); m < 6 {
				assignments[team] = &statecache.Assignment{Member: fmt.Sprint("m", m), Incarnation: uint64(m)}
			}
		}
		live := map[string]bool{}
		for _, a := range assignments {
			if m := members[a.Member]; m != nil && m.Incarnation == a.Incarnation {
				live[a.Member] = true
			}
		}
		for team, m := range Assign(teams, assignments, members, "m0") {
			assignments[team] = &statecache.Assignment{Member: m, Incarnation: members[m].Incarnation}
		}
		for _, team := range slices.Concat(teams, slices.Collect(maps.Keys(assignments))) {
			a := assignments[team]
			if members[a.Member] == nil || members[a.Member].Incarnation != a.Incarnation {
				t.Fatalf("%s is assigned to %+v", team, a)
			}
			if a.Member != assignments[teams[0]].Member {
				t.Fatalf("teams assigned to more than one controller: %v", assignments)
			}
			if len(live) > 0 && !live[a.Member] {
				t.Fatalf("teams taken from live controllers %v", live)
			}
			if len(live) == 0 && a.Member == "m0" && len(members) > 1 {
				t.Fatal("teams assigned to the leader though another member is live")
			}
		}
		if again := Assign(teams, assignments, members, "m0"); len(again) > 0 {
			t.Fatalf("second assignment moves teams: %v", again)
		}
	})
}

// A team that was removed from the settings stays listed until its last active job has ended.
func TestTeamsOfRunningJobs(t *testing.T) {
	job := func(team wire.TeamName, state wire.JobState) *statecache.Job {
		return &statecache.Job{Spec: &wire.Job{Team: team}, State: state}
	}
	teams := newTeamList([]wire.TeamName{"a"})
	teams.apply("1", job("a", ""))
	teams.apply("2", job("gone", ""))
	teams.apply("3", job("over", wire.JobCancelled))
	teams.apply("4", job("gone", ""))
	if got := teams.list(); !slices.Equal(got, []wire.TeamName{"a", "gone"}) {
		t.Fatalf("teams %v", got)
	}
	teams.apply("2", job("gone", "")) // repeated change
	teams.apply("2", &statecache.Job{State: wire.JobDone})
	if got := teams.list(); !slices.Equal(got, []wire.TeamName{"a", "gone"}) {
		t.Fatalf("teams %v with one job left", got)
	}
	teams.apply("4", nil)
	if got := teams.list(); !slices.Equal(got, []wire.TeamName{"a"}) {
		t.Fatalf("teams %v after the last job ended", got)
	}
}
