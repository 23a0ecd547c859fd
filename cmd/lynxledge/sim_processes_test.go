package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/failuredetector"
	"lynxledge/internal/simulation"
	"lynxledge/internal/simulation/history"
	"lynxledge/internal/simulation/loopback"
	"lynxledge/internal/standby"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// settingsVariable names a settings file. With it set, the test binary runs as a controller.
const settingsVariable = "LYNXLEDGE_TEST_SETTINGS"

// TestMain runs a controller if settingsVariable is set, and the tests otherwise.
func TestMain(m *testing.M) {
	settings := os.Getenv(settingsVariable)
	if settings == "" {
		os.Exit(m.Run())
	}
	command := rootCommand()
	command.SetArgs([]string{"--operators", settings + ".json", "--config", settings})
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const loopbackSettings = `
member = %q
area = %q
client_listen = %q
mesh_addr = %q
%s
[external]
cloud = %q
state = %q
[params]
size = 3
zones = ["a", "b", "c"]
skew_ms = 25.0
[[params.teams]]
name = "red"
[[params.teams]]
name = "blue"
[params.workers]
report_s = 1.0
lease_s = 6.0
cancel_s = 12.0
[params.state]
rps = 300.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 20.0
list_lag_s = 1.0
[params.resources]
cpu = 1.0
memory_mb = 300.0
fd_limit = 800
`

// process is a controller in an operating system process of its own.
type process struct {
	name                       string
	zone                       wire.Zone
	clientAddress, peerAddress string
	settingsFile               string
	command                    *exec.Cmd // nil while it is down
	logs                       bytes.Buffer
	storeAddress, cloudAddress string // where this controller reaches the simulated store and cloud
}

// processCluster runs controllers as processes, and serves the simulated store, cloud and workers
// on loopback addresses.
type processCluster struct {
	t                *testing.T
	ctx              context.Context
	cfg              *config.Config
	invariants       *simulation.InvariantChecker
	store            *simulation.Store
	network          *simulation.Network
	cloud            *simulation.Cloud
	client           *http.Client
	processes        []*process
	orderChecker     *history.RecoveryOrderChecker
	services         []*wire.Job
	jobCount         int
	operatorSettings string // JSON
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newProcessCluster starts a controller in each zone with the given operators' settings.
func newProcessCluster(ctx context.Context, t *testing.T, zones []wire.Zone, operators string) *processCluster {
	cfg, err := config.Parse(fmt.Sprintf(loopbackSettings, "observer", "a", "127.0.0.1:1", "127.0.0.1:1", "", "127.0.0.1:1", "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	c := &processCluster{
		t:                t,
		ctx:              ctx,
		cfg:              cfg,
		invariants:       simulation.NewInvariantChecker(cfg.Params),
		store:            simulation.NewStore(),
		network:          simulation.NewNetwork(1, 0),
		client:           &http.Client{Timeout: 3 * time.Second},
		operatorSettings: operators,
	}
	clientAddresses := map[string]string{}
	var names []string
	for i, zone := range zones {
		p := &process{name: fmt.Sprintf("n%d", i), zone: zone, clientAddress: freeAddress(t), peerAddress: freeAddress(t)}
		c.processes, names, clientAddresses[p.name] = append(c.processes, p), append(names, p.name), p.clientAddress
	}
	c.startCloud(simulation.WorkerOptions{
		HeartbeatInterval: time.Second, LeaseDuration: 6 * time.Second, Members: names, Network: c.network, Checker: c.invariants, ImageFetchTime: 100 * time.Millisecond,
		PostHeartbeat: func(member string) simulation.HeartbeatPoster {
			return loopback.HeartbeatPoster(c.client, clientAddresses[member])
		},
	})
	for _, p := range c.processes {
		c.configure(p)
		c.start(p)
	}
	c.orderChecker = history.NewRecoveryOrderChecker(cfg.Params, zoneMachineTypes, c.store.FirstSentAt, false)
	observe(ctx, c.store, c.network, cfg.Params.Store, c.orderChecker.Apply)
	return c
}

// startCloud starts a cloud whose workers answer commands on loopback addresses.
func (c *processCluster) startCloud(options simulation.WorkerOptions) {
	c.cloud = simulation.NewCloud(1, zoneMachineTypes, 4, time.Second, func(instance wire.Instance) *simulation.Worker {
		worker := simulation.NewWorker(c.ctx, instance, options, len(instance.ID)%len(options.Members))
		conn := &simulation.WorkerConn{Cloud: c.cloud, Network: c.network, Member: "commands", Timeout: time.Second}
		if err := loopback.ServeWorker(c.ctx, instance.ID, instance.Address, conn); err != nil {
			c.t.Error(err)
		}
		return worker
	})
	c.cloud.SetBootTimeAndAddress(2*time.Second, loopback.NewSubnet().Address)
}

// configure serves the store and the cloud to a controller, and writes its settings files.
func (c *processCluster) configure(p *process) {
	var err error
	if p.storeAddress, err = loopback.Serve(c.ctx, loopback.StoreHandler(&simulation.StoreConn{Store: c.store, Network: c.network, Member: p.name, Timeout: time.Second})); err != nil {
		c.t.Fatal(err)
	}
	if p.cloudAddress, err = loopback.Serve(c.ctx, loopback.CloudHandler(&simulation.CloudConn{Cloud: c.cloud, Network: c.network, Member: p.name, Timeout: time.Second, MachineContext: c.ctx})); err != nil {
		c.t.Fatal(err)
	}
	var others strings.Builder
	for _, o := range c.processes {
		if o != p {
			fmt.Fprintf(&others, "[[others]]\nmember = %q\narea = %q\nendpoint = %q\n", o.name, o.zone, o.peerAddress)
		}
	}
	p.settingsFile = filepath.Join(c.t.TempDir(), p.name+".toml")
	text := fmt.Sprintf(loopbackSettings, p.name, p.zone, p.clientAddress, p.peerAddress, others.String(), p.cloudAddress, p.storeAddress)
	for path, content := range map[string]string{p.settingsFile: text, p.settingsFile + ".json": c.operatorSettings} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			c.t.Fatal(err)
		}
	}
}

// start starts a controller's process.
func (c *processCluster) start(p *process) {
	program, err := os.Executable()
	if err != nil {
		c.t.Fatal(err)
	}
	p.command = exec.Command(program)
	p.command.Env = append(os.Environ(), settingsVariable+"="+p.settingsFile, "LOG_LEVEL=info")
	p.command.Stderr = &p.logs
	if err := p.command.Start(); err != nil {
		c.t.Fatal(err)
	}
}

// kill kills a controller's process (SIGKILL).
func (c *processCluster) kill(p *process) {
	if p.command != nil {
		_ = p.command.Process.Kill() // the process may have exited already
		_ = p.command.Wait()
		p.command = nil
	}
}

// shutdown kills all processes that still run.
func (c *processCluster) shutdown() {
	for _, p := range c.processes {
		c.kill(p)
	}
}

// stop terminates a controller's process (SIGTERM) and waits until it exits.
func (c *processCluster) stop(p *process) {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		c.t.Fatal(err)
	}
	if err := p.command.Wait(); err != nil {
		c.t.Errorf("%s exited with %v", p.name, err)
	}
	p.command = nil
}

// submit submits a job to the controllers in turn until one accepts it, in up to 60 rounds a second
// apart.
func (c *processCluster) submit(j *wire.Job, runtime time.Duration) {
	c.invariants.Submitted(j, runtime)
	body, err := json.Marshal(j)
	if err != nil {
		c.t.Fatal(err)
	}
	for range 60 {
		for _, p := range c.processes {
			if p.command == nil {
				continue
			}
			response, err := c.client.Post("http://"+p.clientAddress+"/work", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			response.Body.Close()
			c.invariants.JobAnswered(j.ID, response.StatusCode, wire.JobQueued)
			if response.StatusCode < http.StatusMultipleChoices {
				return
			}
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("%s was not accepted by any controller", j.ID)
}

func (c *processCluster) submitService(replicas int, change func(*wire.Job)) {
	c.jobCount++
	j := &wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", c.jobCount)), Class: "live", Team: "red", Kind: wire.KindService, Priority: wire.PriorityNormal, TaskCount: replicas,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, SpreadZones: true,
	}
	change(j)
	c.services = append(c.services, j)
	c.submit(j, 0)
}

func (c *processCluster) submitArray(tasks int, runtime time.Duration) {
	c.jobCount++
	c.submit(&wire.Job{
		ID: wire.JobID(fmt.Sprintf("req-%06d", c.jobCount)), Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: wire.PriorityHigh, TaskCount: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowSpot: true, EstimatedRuntime: wire.Seconds(runtime.Seconds()),
	}, runtime)
}

// allReplicasRun reports whether every service runs all its replicas. If except is not empty, it
// ignores services that are pinned to that zone.
func (c *processCluster) allReplicasRun(except wire.Zone) bool {
	for _, j := range c.services {
		if (except == "" || j.Zone != except) && c.invariants.RunningTasks(j.ID) != j.TaskCount {
			return false
		}
	}
	return true
}

// await waits until a condition holds, while more arrays arrive than fit, and returns how long that
// took. The bound of two minutes ends a test that hangs; it does not judge how fast the machine is.
func (c *processCluster) await(description string, condition func() bool) time.Duration {
	start := time.Now()
	for n := 0; time.Since(start) < 2*time.Minute; n++ {
		if condition() {
			return time.Since(start)
		}
		if n%15 == 0 {
			c.submitArray(6, 2*time.Second)
		}
		time.Sleep(200 * time.Millisecond)
		c.invariants.CheckCancelled()
	}
	for _, p := range c.processes {
		c.t.Logf("%s:\n%s", p.name, tail(p.logs.String(), 4000))
	}
	c.t.Fatalf("timed out waiting for: %s", description)
	return 0
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// recordOf reads the current record of a key; ok is false if there is none.
func recordOf[T any](c *processCluster, key string) (record T, ok bool) {
	raw := c.store.Value(key)
	return record, raw != nil && json.Unmarshal(raw, &record) == nil
}

// roles returns the controllers that lead and schedule, or "" where none does.
func (c *processCluster) roles() (leader, scheduler string) {
	leaderRecord, leads := recordOf[statecache.Leader](c, statecache.LeaderKey)
	assignment, assigned := recordOf[statecache.Assignment](c, statecache.Key(statecache.KindAssignment, "red"))
	if member, exists := recordOf[statecache.Member](c, statecache.Key(statecache.KindMember, assignment.Member)); assigned && exists && member.Incarnation == assignment.Incarnation {
		scheduler = assignment.Member
	}
	if leads {
		leader = leaderRecord.Member
	}
	return leader, scheduler
}

// holder returns the process that has a role ("leader" or "scheduler"), or nil.
func (c *processCluster) holder(role string) *process {
	leader, scheduler := c.roles()
	for _, p := range c.processes {
		if role == "leader" && p.name == leader || role == "scheduler" && p.name == scheduler {
			return p
		}
	}
	return nil
}

// longLease sets membership leases of 20 s, and five heartbeats a second between controllers.
const longLease = `{"pass_s": 1, "boot_lag_s": 2, "member_lease_reports": 20, "standby": {"heartbeat_reports": 0.2}}`

// newServingCluster starts a cluster with long leases, and waits until its services run.
func newServingCluster(ctx context.Context, t *testing.T) *processCluster {
	t.Helper()
	c := newProcessCluster(ctx, t, []wire.Zone{"a", "b", "c"}, longLease)
	for range 4 {
		c.submitService(2, func(*wire.Job) {})
	}
	c.await("all services run", func() bool { return c.allReplicasRun("") })
	return c
}

// peersConnected reports whether each controller sees every other as alive, with connections open
// in both directions. The roles of a process that ends before that are taken over only when its
// lease expires.
func (c *processCluster) peersConnected() bool {
	for _, p := range c.processes {
		status := &standby.Status{}
		if p.command == nil || fetchStatus(c.ctx, p.peerAddress, standby.StatusPath, status) != nil {
			return false
		}
		for _, o := range status.Peers {
			if o.Level != failuredetector.Alive.String() || o.Connections < 2 {
				return false
			}
		}
	}
	return true
}

// failover ends the process that holds a role, returns how long it takes until another holds it,
// and starts the process again.
func (c *processCluster) failover(role string, end func(p *process)) time.Duration {
	var previous *process
	c.await("controllers receive one another's heartbeats, and all roles are held", func() bool {
		previous = c.holder(role) // it may have the other role too
		return c.holder("leader") != nil && c.holder("scheduler") != nil && c.peersConnected()
	})
	start := time.Now()
	end(previous)
	for time.Since(start) < time.Minute {
		if p := c.holder(role); p != nil && p != previous {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(start)
	c.start(previous)
	return took
}
