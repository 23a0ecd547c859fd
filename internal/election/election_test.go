package election

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/seeded"

	"lynxledge/internal/ledger"
	"lynxledge/wire"
)

// After an assignment every team has a live controller, none has more than
// its part, and a second assignment changes nothing.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[string]*ledger.Member{}
		for i := range rapid.IntRange(1, 5).Draw(t, "members") {
			members[fmt.Sprint("m", i)] = &ledger.Member{Boot: uint64(i + rapid.IntRange(0, 1).Draw(t, "boot")*10)}
		}
		hands := map[string]*ledger.Hand{}
		var teams []string
		for i := range rapid.IntRange(1, 8).Draw(t, "teams") {
			team := fmt.Sprint("t", i)
			teams = append(teams, team)
			if m := rapid.IntRange(0, 6).Draw(t, "holder"); m < 6 {
				hands[team] = &ledger.Hand{Member: fmt.Sprint("m", m), Boot: uint64(m)}
			}
		}
		for team, m := range Assign(teams, hands, members) {
			hands[team] = &ledger.Hand{Member: m, Boot: members[m].Boot}
		}
		held := map[string]int{}
		for _, team := range teams {
			h := hands[team]
			if members[h.Member] == nil || members[h.Member].Boot != h.Boot {
				t.Fatalf("%s is with %+v", team, h)
			}
			if held[h.Member]++; held[h.Member] > (len(teams)+len(members)-1)/len(members) {
				t.Fatalf("%s has too many", h.Member)
			}
		}
		if again := Assign(teams, hands, members); len(again) > 0 {
			t.Fatalf("moves again: %v", again)
		}
	})
}

// A team that left the settings keeps its running jobs placed.
func TestTeamsOfRunningJobs(t *testing.T) {
	job := func(team, state string) *ledger.Job { return &ledger.Job{Spec: &wire.Job{Team: team}, State: state} }
	got := Teams([]string{"a"}, map[string]*ledger.Job{
		"1": job("a", ""), "2": job("gone", ""), "3": job("over", wire.JobCancelled), "4": job("gone", ""),
	})
	if !slices.Equal(got, []string{"a", "gone"}) {
		t.Fatalf("teams %v", got)
	}
}
