package election

import (
	"maps"
	"slices"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// teamList is the teams that need a controller: those of the settings, and those that
// left them while jobs of theirs run on. It follows the jobs, so nobody has to look
// through all of them.
type teamList struct {
	configured []wire.TeamName
	teamOfJob  map[wire.JobID]wire.TeamName // job that is not over: its team
	activeJobs map[wire.TeamName]int        // number of such jobs, by team
	names      []wire.TeamName              // the list as it is, nil once it may have changed
}

func newTeamList(settings []wire.TeamName) *teamList {
	return &teamList{configured: settings, teamOfJob: map[wire.JobID]wire.TeamName{}, activeJobs: map[wire.TeamName]int{}}
}

// apply takes a job's new record over; nil if there is none any more.
func (t *teamList) apply(id wire.JobID, j *statecache.Job) {
	if team, ok := t.teamOfJob[id]; ok {
		delete(t.teamOfJob, id)
		t.count(team, -1)
	}
	if j != nil && j.Active() && j.Spec != nil {
		t.teamOfJob[id] = j.Spec.Team
		t.count(j.Spec.Team, 1)
	}
}

// count adds to a team's jobs. Only the first job and the last may change the list.
func (t *teamList) count(team wire.TeamName, more int) {
	before := t.activeJobs[team]
	t.activeJobs[team] += more
	if t.activeJobs[team] == 0 {
		delete(t.activeJobs, team)
	}
	if before == 0 || t.activeJobs[team] == 0 {
		t.names = nil
	}
}

// list names the teams. The caller leaves the list as it is.
func (t *teamList) list() []wire.TeamName {
	if t.names != nil {
		return t.names
	}
	t.names = slices.Clone(t.configured)
	for _, team := range slices.Sorted(maps.Keys(t.activeJobs)) {
		if !slices.Contains(t.configured, team) {
			t.names = append(t.names, team)
		}
	}
	return t.names
}
