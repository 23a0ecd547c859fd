package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var quietLog = log.New(io.Discard, "", 0)

// siteSettings are the settings of a deployment.
type siteSettings struct {
	zones                  []string
	nodeZones              []string
	teams                  []string
	teamMax, teamGuarantee map[string]float64
	types                  []machineType
	capacity               map[string]int
	report, lease, cancel  time.Duration
	rps, writeRPS, valueKB float64
	txnOps                 int
	cloudRPS               float64
	listLag                time.Duration
	cpu, memoryMB          float64
	fdLimit                int
	nextValueKB            float64 // of state.next; 0: there is none
	nextTxnOps             int
	nextWriteRPS           float64
}

func sahil() siteSettings {
	s := siteSettings{
		zones: []string{"ruwi", "seeb"}, nodeZones: []string{"seeb", "ruwi", "seeb"},
		teams:         []string{"dispatch", "mapcraft", "probes", "fleet-ops", "platform"},
		teamMax:       map[string]float64{"dispatch": 288, "mapcraft": 384, "probes": 136, "fleet-ops": 288, "platform": 176},
		teamGuarantee: map[string]float64{"dispatch": 112, "mapcraft": 112, "probes": 80, "fleet-ops": 96, "platform": 80},
		types: []machineType{
			{"dhow-small", 4, 0, 8, 35, 0.5, 0.15, 0.06, 40, []string{"seeb"}},
			{"dhow-mid", 16, 0, 64, 25, 0.5, 0.67, 0.28, 50, []string{"seeb"}},
			{"dhow-large", 64, 0, 256, 40, 0.2, 2.59, 1.01, 25, []string{"ruwi", "seeb"}},
		},
		capacity: map[string]int{},
		report:   3 * time.Second, lease: 34 * time.Second, cancel: 64 * time.Second,
		rps: 150, writeRPS: 50, valueKB: 8, txnOps: 24, cloudRPS: 3, listLag: 10 * time.Second, cpu: 0.096, memoryMB: 70, fdLimit: 800,
	}
	for spot, counts := range map[bool][2]int{false: {19, 6}, true: {15, 4}} {
		s.capacity[poolKey("dhow-small", "seeb", spot)] = counts[0]
		s.capacity[poolKey("dhow-mid", "seeb", spot)] = counts[1]
		s.capacity[poolKey("dhow-large", "seeb", spot)] = 1
		s.capacity[poolKey("dhow-large", "ruwi", spot)] = 1
	}
	return s
}

// sahilNext has the limits of the state service to come, the teams and the report interval of the page on
// pipelines.
func sahilNext() siteSettings {
	s := sahil()
	s.report = 5 * time.Second
	s.teamMax = map[string]float64{"dispatch": 1500, "mapcraft": 3500, "probes": 700, "fleet-ops": 1500, "platform": 900}
	s.teamGuarantee = map[string]float64{"dispatch": 600, "mapcraft": 600, "probes": 400, "fleet-ops": 500, "platform": 400}
	s.nextValueKB, s.nextTxnOps, s.nextWriteRPS = 2, 8, 35
	return s
}

func gebeyaNext() siteSettings {
	s := gebeya()
	s.report = 8 * time.Second
	s.nextValueKB, s.nextTxnOps, s.nextWriteRPS = 2, 4, 15
	return s
}

func gebeya() siteSettings {
	s := siteSettings{
		zones: []string{"kality", "bole", "piassa"}, nodeZones: []string{"kality", "bole", "piassa"},
		teams: []string{"matchmaking"}, teamMax: map[string]float64{"matchmaking": 0}, teamGuarantee: map[string]float64{"matchmaking": 0},
		types: []machineType{
			{"entoto-small", 4, 0, 32, 35, 0.2, 0.19, 0.05, 50, []string{"bole", "piassa"}},
			{"entoto-big", 16, 0, 128, 40, 0.4, 0.78, 0.2, 30, []string{"kality", "piassa"}},
		},
		capacity: map[string]int{},
		report:   3 * time.Second, lease: 44 * time.Second, cancel: 74 * time.Second,
		rps: 200, writeRPS: 20, valueKB: 4, txnOps: 8, cloudRPS: 10, listLag: 10 * time.Second, cpu: 0.3, memoryMB: 342, fdLimit: 5000,
	}
	for spot, counts := range map[bool][4]int{false: {5, 6, 1, 2}, true: {7, 7, 2, 2}} {
		s.capacity[poolKey("entoto-small", "bole", spot)] = counts[0]
		s.capacity[poolKey("entoto-small", "piassa", spot)] = counts[1]
		s.capacity[poolKey("entoto-big", "kality", spot)] = counts[2]
		s.capacity[poolKey("entoto-big", "piassa", spot)] = counts[3]
	}
	return s
}

// world is all that surrounds the controllers.
type world struct {
	site      siteSettings
	dir       string
	command   []string
	state     *stateService
	cloud     *cloudService
	check     *checker
	nodes     []*node2
	fetchTime time.Duration
	pollEvery time.Duration
	begun     time.Time

	mu         sync.Mutex
	record     *os.File
	jobs       map[string]*job
	order      []*job
	jobSeq     int
	results    map[string]bool
	violations []string
	ended      bool
}

// node2 is one controller: a process of the project's own program.
type node2 struct {
	w                        *world
	name, zone, client, mesh string
	settings                 string
	stateLink, cloudLink     *link
	peers                    map[string]*tcpProxy // to the other controllers
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	log                      *os.File
	userCut                  int // users' and workers' requests: open, hold or reset
	healthy                  bool
	everHealthy              bool
	fails, oks               int
	pauseUntil               time.Time
	pause                    time.Duration
	expectExit               bool
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	if theWorld != nil {
		theWorld.shutdown()
	}
	os.Exit(2)
}

var theWorld *world

func newWorld(site siteSettings, dir, recordFile string) *world {
	w := &world{site: site, dir: dir, jobs: map[string]*job{}, results: map[string]bool{}, fetchTime: 500 * time.Millisecond, pollEvery: 2 * time.Second, begun: time.Now()}
	theWorld = w
	f, err := os.Create(recordFile)
	if err != nil {
		fatal("%v", err)
	}
	w.record = f
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		fatal("%v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			w.command = strings.Fields(strings.Trim(v, "\" "))
		}
	}
	if len(w.command) == 0 {
		fatal("no run command")
	}
	w.state = newStateService(site)
	w.check = newChecker(w)
	w.cloud = newCloud(w)
	for i, z := range site.nodeZones {
		n := &node2{w: w, name: fmt.Sprintf("nest-%d", i), zone: z, client: freeAddr(), mesh: freeAddr(), stateLink: newLink(), cloudLink: newLink(), peers: map[string]*tcpProxy{}, pause: 3 * time.Second}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			if o != n {
				n.peers[o.name] = newProxy(o.mesh)
			}
		}
		n.writeSettings()
	}
	go w.balance()
	return w
}

// freeAddr returns a free address below the range of ports that connections take, and none twice.
func freeAddr() string {
	for range 2000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		if taken[addr] {
			continue
		}
		ln, err := net.Listen("tcp4", addr)
		if err == nil {
			ln.Close()
			taken[addr] = true
			return addr
		}
	}
	fatal("no free port")
	return ""
}

var taken = map[string]bool{}

func (n *node2) writeSettings() {
	w, s := n.w, n.w.site
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("member = %q\narea = %q\nclient_listen = %q\nmesh_addr = %q\n", n.name, n.zone, n.client, n.mesh)
	for _, o := range w.nodes {
		if o != n {
			p("[[others]]\nmember = %q\narea = %q\nendpoint = %q\n", o.name, o.zone, n.peers[o.name].addr)
		}
	}
	p("[external]\ncloud = %q\nstate = %q\n", serve(w.cloud.handler(n.name, n.cloudLink)), serve(w.state.handler(n.name, n.stateLink)))
	zones, _ := json.Marshal(s.zones)
	p("[params]\nsize = %d\nzones = %s\nskew_ms = 25.0\n", len(w.nodes), zones)
	for _, t := range s.teams {
		p("[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t, s.teamGuarantee[t], s.teamMax[t])
	}
	p("[[params.objectives]]\nkind = \"finished\"\nclass = \"reroute-batch\"\nwithin_s = 100.0\nshare = 0.65\n")
	p("[[params.objectives]]\nkind = \"wait\"\nclass = \"turn-service\"\nwithin_s = 1.0\nshare = 0.93\n")
	p("[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = %.1f\n", s.report.Seconds(), s.lease.Seconds(), s.cancel.Seconds())
	p("[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.rps, s.writeRPS, s.valueKB, s.txnOps)
	if s.nextValueKB > 0 {
		p("[params.state.next]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.rps, s.nextWriteRPS, s.nextValueKB, s.nextTxnOps)
	}
	p("[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLag.Seconds())
	p("[params.resources]\ncpu = %.3f\nmemory_mb = %.1f\nfd_limit = %d", s.cpu, s.memoryMB, s.fdLimit)
	n.settings = filepath.Join(w.dir, n.name+".toml")
	if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
		fatal("%v", err)
	}
}

func (n *node2) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return
	}
	if n.log == nil {
		n.log, _ = os.Create(filepath.Join(n.w.dir, n.name+".log"))
	}
	cmd := exec.Command(n.w.command[0], append(slices.Clone(n.w.command[1:]), n.settings)...)
	cmd.Stderr, cmd.Stdout = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal("%v", err)
	}
	n.cmd, n.expectExit = cmd, false
	n.w.rec("platform: %s starts", n.name)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if n.cmd == cmd {
			n.cmd = nil
		}
		expected := n.expectExit
		n.mu.Unlock()
		if !expected {
			n.w.violate("crash", "controller %s ended by itself: %v", n.name, err)
		}
	}()
}

func (n *node2) kill() {
	n.mu.Lock()
	cmd := n.cmd
	n.expectExit = true
	n.mu.Unlock()
	if cmd != nil {
		n.w.rec("platform: %s is killed", n.name)
		_ = cmd.Process.Kill()
		for i := 0; i < 200; i++ {
			n.mu.Lock()
			gone := n.cmd == nil
			n.mu.Unlock()
			if gone {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (n *node2) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// send sends a request of a user or a worker to the node.
func (n *node2) send(c *http.Client, method, path string, raw []byte, timeout time.Duration) (int, []byte, http.Header) {
	n.mu.Lock()
	cut := n.userCut
	n.mu.Unlock()
	switch cut {
	case linkHold:
		time.Sleep(timeout)
		return 0, nil, nil
	case linkReset:
		return 0, nil, nil
	}
	return post(c, method, "http://"+n.client+path, raw, timeout)
}

func (n *node2) cutUsers(mode int) { n.mu.Lock(); n.userCut = mode; n.mu.Unlock() }

// balance probes the nodes as the load balancer does.
func (w *world) balance() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for !w.over() {
		for _, n := range w.nodes {
			go func() {
				status, _, _ := n.send(client, "GET", "/ready", nil, time.Second)
				n.mu.Lock()
				defer n.mu.Unlock()
				if status == 200 {
					n.oks++
					n.fails = 0
					if !n.healthy && (!n.everHealthy || n.oks >= 2 && time.Now().After(n.pauseUntil)) {
						n.healthy, n.everHealthy = true, true
					}
				} else {
					n.fails++
					n.oks = 0
					if n.healthy && n.fails >= 2 {
						n.healthy, n.pauseUntil = false, time.Now().Add(3*time.Second)
					}
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

func (w *world) healthyNode() *node2 {
	var list []*node2
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.healthy {
			list = append(list, n)
		}
		n.mu.Unlock()
	}
	if len(list) == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return list[rng.IntN(len(list))]
}

func (w *world) rec(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record != nil {
		fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
	}
}

func (w *world) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.rec("RULE BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%.3f %s", time.Since(w.begun).Seconds(), text))
}

func (w *world) job(id string) *job { w.mu.Lock(); defer w.mu.Unlock(); return w.jobs[id] }
func (w *world) hasResult(leg string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.results[leg]
}
func (w *world) setResult(leg string) { w.mu.Lock(); w.results[leg] = true; w.mu.Unlock() }
func (w *world) over() bool           { w.mu.Lock(); defer w.mu.Unlock(); return w.ended }

func (w *world) shutdown() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
}

// leader and scheduler return the nodes with these roles.
func (w *world) leader() *node2 { return w.holder(w.state.read("lx/leader")) }
func (w *world) scheduler() *node2 {
	for _, v := range w.state.scan("lx/hand/") {
		return w.holder(v)
	}
	return nil
}

func (w *world) holder(record string) *node2 {
	for _, n := range w.nodes {
		if strings.Contains(record, `"`+n.name+`"`) {
			return n
		}
	}
	return nil
}

func (w *world) await(what string, limit time.Duration, f func() bool) bool {
	begin := time.Now()
	for time.Since(begin) < limit {
		if f() {
			w.rec("case: %s after %.1f s", what, time.Since(begin).Seconds())
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.rec("case: not within %v: %s", limit, what)
	return false
}
