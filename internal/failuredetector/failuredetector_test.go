package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"
	"lynxledge/wire"
)

const beat = time.Second

var testPolicy = Policy{Heartbeat: beat, SuspectAfter: 2 * beat, FailedAfter: 2 * beat}

// scene is a detector among controllers that all beat, but for those that are quiet.
type scene struct {
	*Detector
	now   time.Time
	quiet map[string]bool
	boots map[string]uint64
}

func newScene(members ...string) *scene {
	s := &scene{now: time.Unix(1000, 0), quiet: map[string]bool{}, boots: map[string]uint64{}}
	s.Detector = New(s.now, testPolicy, members)
	for _, m := range members {
		s.boots[m] = 1
		s.Opened(m)
		s.Opened(m)
	}
	s.pass(5)
	return s
}

// pass lets quarters of a heartbeat go by, and returns the verdicts at their end.
func (s *scene) pass(beats int) (verdicts []Verdict) {
	for i := range 4 * beats {
		s.now = s.now.Add(beat / 4)
		for m, boot := range s.boots {
			if i%4 == 0 && !s.quiet[m] {
				s.Heartbeat(s.now, m, boot)
			}
		}
		verdicts = s.Check(s.now)
	}
	return verdicts
}

// end ends a controller's process.
func (s *scene) end(m string) {
	s.quiet[m] = true
	s.Closed(s.now, m)
	s.Closed(s.now, m)
}

func failed(verdicts []Verdict) []string {
	var names []string
	for _, v := range verdicts {
		names = append(names, fmt.Sprint(v.Member, "/", v.Incarnation))
	}
	return names
}

// A controller of which nothing is left has failed; one that is only silent, or has only
// lost its connections, is suspect.
func TestLevels(t *testing.T) {
	s := newScene("n1", "n2", "n3")
	if v := s.pass(10); len(v) > 0 {
		t.Errorf("%v of those that are well", v)
	}
	s.quiet["n1"] = true
	if v := s.pass(60); len(v) > 0 || s.Level(s.now, "n1") != Suspect {
		t.Errorf("silent, with connections: %v, %v", v, s.Level(s.now, "n1"))
	}
	s.Closed(s.now, "n2")
	s.Closed(s.now, "n2")
	if v := s.pass(10); len(v) > 0 || s.Level(s.now, "n2") != Suspect {
		t.Errorf("without connections, but heard: %v, %v", v, s.Level(s.now, "n2"))
	}
	s.end("n1")
	if v := s.pass(1); len(v) > 0 {
		t.Errorf("too early: %v", v)
	}
	if v := failed(s.pass(2)); !slices.Equal(v, []string{"n1/1"}) {
		t.Errorf("ended: %v", v)
	}
	if s.Level(s.now, "stranger") != Suspect {
		t.Error("a stranger is alive")
	}
}

// A controller that hears nobody concludes nothing; nor does one that stood still itself.
func TestNoVerdictWithoutASoundObserver(t *testing.T) {
	s := newScene("n1", "n2")
	s.end("n1")
	s.end("n2")
	if v := s.pass(60); len(v) > 0 {
		t.Errorf("all have failed: %v", v)
	}
	s = newScene("n1", "n2")
	s.end("n1")
	s.now = s.now.Add(30 * beat)
	if v := s.Check(s.now); len(v) > 0 {
		t.Errorf("right after a stall: %v", v)
	}
	if v := failed(s.pass(3)); !slices.Equal(v, []string{"n1/1"}) {
		t.Errorf("a while after it: %v", v)
	}
	alone := newScene("n1") // with one other there is nobody to compare with
	alone.end("n1")
	if v := failed(alone.pass(3)); !slices.Equal(v, []string{"n1/1"}) {
		t.Errorf("of two: %v", v)
	}
}

// A later process of a controller proves the end of the one before; a late heartbeat of
// that one changes nothing.
func TestAnotherProcessIsProof(t *testing.T) {
	s := newScene("n1", "n2", "n3")
	s.boots["n1"] = 2
	if v := failed(s.pass(1)); !slices.Equal(v, []string{"n1/1"}) || s.Level(s.now, "n1") != Alive {
		t.Errorf("%v, %v", v, s.Level(s.now, "n1"))
	}
	if s.Heartbeat(s.now, "n1", 1) || s.Heartbeat(s.now, "stranger", 1) || s.Heartbeat(s.now, "n2", 0) {
		t.Error("taken: a late heartbeat, a stranger's, or one that names no process")
	}
	if v := failed(s.pass(1)); !slices.Equal(v, []string{"n1/1"}) {
		t.Errorf("after a late one: %v", v)
	}
}

// Whatever is heard, and however long this process stands still: no verdict is given on a
// process that was heard within the time of failure, or that has a connection open.
func TestNoVerdictOnTheLiving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		names := []string{"n1", "n2", "n3"}
		d := New(now, testPolicy, names)
		heard, open, boots := map[string]time.Time{}, map[string]int{}, map[string]uint64{"n1": 1, "n2": 1, "n3": 1}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m := rapid.SampledFrom(names).Draw(t, "member")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				d.Opened(m)
				open[m]++
			case 1:
				d.Closed(now, m)
				open[m] = max(0, open[m]-1)
			case 2:
				boots[m]++
				d.Heartbeat(now, m, boots[m])
				heard[m] = now
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * beat)
			default:
				d.Heartbeat(now, m, boots[m])
				heard[m] = now
			}
			now = now.Add(beat / 4)
			for _, v := range d.Check(now) {
				if v.Incarnation == boots[v.Member] && (now.Sub(heard[v.Member]) < testPolicy.FailedAfter || open[v.Member] > 0) {
					t.Fatalf("%+v at %v, heard %v ago, %d connections", v, now, now.Sub(heard[v.Member]), open[v.Member])
				}
			}
		}
	})
}

// Those in other zones than the dead one's come first, and of these such as have no other
// role.
func TestOrder(t *testing.T) {
	zones := map[string]wire.Zone{"n0": "a", "n1": "a", "n2": "b", "n3": "b", "n4": "c"}
	got := SuccessorOrder([]string{"n1", "n2", "n3", "n4"}, func(m string) wire.Zone { return zones[m] }, "a", "n2")
	if want := []string{"n3", "n4", "n2", "n1"}; !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
}
