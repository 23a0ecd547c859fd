package election

import (
	"maps"
	"slices"

	"lynxledge/internal/ledger"
)

// teamList is the teams that need a controller: those of the settings, and those that
// left them while jobs of theirs run on. It follows the jobs, so nobody has to look
// through all of them.
type teamList struct {
	settings []string
	active   map[string]string // job that is not over: its team
	jobs     map[string]int    // number of such jobs, by team
}

func newTeamList(settings []string) *teamList {
	return &teamList{settings: settings, active: map[string]string{}, jobs: map[string]int{}}
}

// apply takes a job's new record over; nil if there is none any more.
func (t *teamList) apply(id string, j *ledger.Job) {
	if team, ok := t.active[id]; ok {
		delete(t.active, id)
		if t.jobs[team]--; t.jobs[team] == 0 {
			delete(t.jobs, team)
		}
	}
	if j != nil && j.Active() && j.Spec != nil {
		t.active[id] = j.Spec.Team
		t.jobs[j.Spec.Team]++
	}
}

// list names the teams.
func (t *teamList) list() []string {
	teams := slices.Clone(t.settings)
	for _, team := range slices.Sorted(maps.Keys(t.jobs)) {
		if !slices.Contains(t.settings, team) {
			teams = append(teams, team)
		}
	}
	return teams
}
