package election

import (
	"maps"
	"slices"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// teamList is the teams that need a controller: those of the settings, and those that left the
// settings while jobs of theirs are active. It follows the jobs' changes, so that nobody has to
// look through all jobs.
type teamList struct {
	configured []wire.TeamName
	teamOfJob  map[wire.JobID]wire.TeamName // of active jobs
	activeJobs map[wire.TeamName]int
	names      []wire.TeamName // the list, nil once it may have changed
}

func newTeamList(configured []wire.TeamName) *teamList {
	return &teamList{configured: configured, teamOfJob: map[wire.JobID]wire.TeamName{}, activeJobs: map[wire.TeamName]int{}}
}

// apply applies a job's new record; nil if it was deleted.
func (t *teamList) apply(id wire.JobID, j *statecache.Job) {
	if team, ok := t.teamOfJob[id]; ok {
		delete(t.teamOfJob, id)
		t.addJobs(team, -1)
	}
	if j != nil && j.Active() && j.Spec != nil {
		t.teamOfJob[id] = j.Spec.Team
		t.addJobs(j.Spec.Team, 1)
	}
}

// addJobs adds to the count of a team's active jobs. Only the first job and the last may change
// the list.
func (t *teamList) addJobs(team wire.TeamName, n int) {
	before := t.activeJobs[team]
	t.activeJobs[team] += n
	if t.activeJobs[team] == 0 {
		delete(t.activeJobs, team)
	}
	if before == 0 || t.activeJobs[team] == 0 {
		t.names = nil
	}
}

// list returns the teams. The caller must not change the slice.
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
