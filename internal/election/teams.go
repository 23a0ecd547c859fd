package election

import (
	"maps"
	"slices"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// teamList holds the teams that need a controller: those in the settings, and those removed from
// the settings that still have active jobs. It is updated with each change of a job, which avoids
// scanning all jobs.
type teamList struct {
	configured []wire.TeamName
	teamOfJob  map[wire.JobID]wire.TeamName // active jobs only
	activeJobs map[wire.TeamName]int
	names      []wire.TeamName // result of list; nil when it has to be recomputed
}

func newTeamList(configured []wire.TeamName) *teamList {
	return &teamList{configured: configured, teamOfJob: map[wire.JobID]wire.TeamName{}, activeJobs: map[wire.TeamName]int{}}
}

// apply applies a job's new record, which is nil if the job was deleted.
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

// addJobs adds n to the count of a team's active jobs. The list may change only when the first job
// is added or the last one removed.
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

// list returns the teams. The caller must not modify the slice.
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
