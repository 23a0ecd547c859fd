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

const heartbeatInterval = time.Second

var testPolicy = Policy{HeartbeatInterval: heartbeatInterval, SuspectAfter: 2 * heartbeatInterval, FailedAfter: 2 * heartbeatInterval}

// cluster is a detector for simulated controllers that send heartbeats unless they are stopped.
type cluster struct {
	*Detector
	now          time.Time
	stopped      map[string]bool
	incarnations map[string]uint64
}

func newCluster(members ...string) *cluster {
	c := &cluster{now: time.Unix(1000, 0), stopped: map[string]bool{}, incarnations: map[string]uint64{}}
	c.Detector = New(c.now, testPolicy, members)
	for _, m := range members {
		c.incarnations[m] = 1
		c.ConnectionOpened(m)
		c.ConnectionOpened(m)
	}
	c.advance(5)
	return c
}

// advance simulates heartbeat intervals, with a check each quarter, and returns the last verdicts.
func (c *cluster) advance(intervals int) (verdicts []Verdict) {
	for i := range 4 * intervals {
		c.now = c.now.Add(heartbeatInterval / 4)
		for m, incarnation := range c.incarnations {
			if i%4 == 0 && !c.stopped[m] {
				c.Heartbeat(c.now, m, incarnation)
			}
		}
		verdicts = c.Check(c.now)
	}
	return verdicts
}

// stop simulates the end of a controller's process.
func (c *cluster) stop(m string) {
	c.stopped[m] = true
	c.ConnectionClosed(c.now, m)
	c.ConnectionClosed(c.now, m)
}

func processesOf(verdicts []Verdict) []string {
	var names []string
	for _, v := range verdicts {
		names = append(names, fmt.Sprint(v.Member, "/", v.Incarnation))
	}
	return names
}

// A controller with neither heartbeats nor connections is failed. One that only misses heartbeats,
// or has only lost its connections, is suspect.
func TestLevels(t *testing.T) {
	c := newCluster("n1", "n2", "n3")
	if v := c.advance(10); len(v) > 0 {
		t.Errorf("%v of alive controllers", v)
	}
	c.stopped["n1"] = true
	if v := c.advance(60); len(v) > 0 || c.Level(c.now, "n1") != Suspect {
		t.Errorf("no heartbeats, with connections: %v, %v", v, c.Level(c.now, "n1"))
	}
	c.ConnectionClosed(c.now, "n2")
	c.ConnectionClosed(c.now, "n2")
	if v := c.advance(10); len(v) > 0 || c.Level(c.now, "n2") != Suspect {
		t.Errorf("without connections, with heartbeats: %v, %v", v, c.Level(c.now, "n2"))
	}
	c.stop("n1")
	if v := c.advance(1); len(v) > 0 {
		t.Errorf("too early: %v", v)
	}
	if v := processesOf(c.advance(2)); !slices.Equal(v, []string{"n1/1"}) {
		t.Errorf("stopped: %v", v)
	}
	if c.Level(c.now, "unknown") != Suspect {
		t.Error("an unknown controller is alive")
	}
}

// A controller returns no verdict on processes that stopped sending heartbeats while it receives
// heartbeats from nobody, or while it was paused itself.
func TestNoVerdictWhenIsolatedOrStalled(t *testing.T) {
	c := newCluster("n1", "n2")
	c.stop("n1")
	c.stop("n2")
	if v := c.advance(60); len(v) > 0 {
		t.Errorf("all peers stopped: %v", v)
	}
	c = newCluster("n1", "n2")
	c.stop("n1")
	c.now = c.now.Add(30 * heartbeatInterval)
	if v := c.Check(c.now); len(v) > 0 {
		t.Errorf("right after a pause: %v", v)
	}
	if v := processesOf(c.advance(3)); !slices.Equal(v, []string{"n1/1"}) {
		t.Errorf("three intervals after the pause: %v", v)
	}
	pair := newCluster("n1") // with only one peer, isolation can't be told from its failure
	pair.stop("n1")
	if v := processesOf(pair.advance(3)); !slices.Equal(v, []string{"n1/1"}) {
		t.Errorf("two controllers: %v", v)
	}
}

// A heartbeat of a new incarnation proves that the previous process has ended. A delayed heartbeat
// of the previous process is ignored.
func TestLaterIncarnationProvesEndOfEarlier(t *testing.T) {
	c := newCluster("n1", "n2", "n3")
	c.incarnations["n1"] = 2
	if v := processesOf(c.advance(1)); !slices.Equal(v, []string{"n1/1"}) || c.Level(c.now, "n1") != Alive {
		t.Errorf("%v, %v", v, c.Level(c.now, "n1"))
	}
	if c.Heartbeat(c.now, "n1", 1) || c.Heartbeat(c.now, "unknown", 1) || c.Heartbeat(c.now, "n2", 0) {
		t.Error("accepted a delayed heartbeat, one of an unknown controller, or one without an incarnation")
	}
	if v := processesOf(c.advance(1)); !slices.Equal(v, []string{"n1/1"}) {
		t.Errorf("after a delayed heartbeat: %v", v)
	}
}

// For any sequence of heartbeats, connections and pauses of this process, there is no verdict on a
// process that sent a heartbeat within FailedAfter or has an open connection.
func TestNoVerdictOnAliveProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		names := []string{"n1", "n2", "n3"}
		d := New(now, testPolicy, names)
		lastHeartbeat, open, incarnations := map[string]time.Time{}, map[string]int{}, map[string]uint64{"n1": 1, "n2": 1, "n3": 1}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m := rapid.SampledFrom(names).Draw(t, "member")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				d.ConnectionOpened(m)
				open[m]++
			case 1:
				d.ConnectionClosed(now, m)
				open[m] = max(0, open[m]-1)
			case 2:
				incarnations[m]++
				d.Heartbeat(now, m, incarnations[m])
				lastHeartbeat[m] = now
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * heartbeatInterval)
			default:
				d.Heartbeat(now, m, incarnations[m])
				lastHeartbeat[m] = now
			}
			now = now.Add(heartbeatInterval / 4)
			for _, v := range d.Check(now) {
				if v.Incarnation == incarnations[v.Member] && (now.Sub(lastHeartbeat[v.Member]) < testPolicy.FailedAfter || open[v.Member] > 0) {
					t.Fatalf("%+v at %v, last heartbeat %v ago, %d connections", v, now, now.Sub(lastHeartbeat[v.Member]), open[v.Member])
				}
			}
		}
	})
}

// Members outside the failed leader's zone come first, and the active scheduler comes last within
// its group.
func TestSuccessorOrder(t *testing.T) {
	zones := map[string]wire.Zone{"n0": "a", "n1": "a", "n2": "b", "n3": "b", "n4": "c"}
	got := SuccessorOrder([]string{"n1", "n2", "n3", "n4"}, func(m string) wire.Zone { return zones[m] }, "a", "n2")
	if want := []string{"n3", "n4", "n2", "n1"}; !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
}
