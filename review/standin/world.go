package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// limits are the settings of the deployment that the stand-ins need.
type limits struct {
	report, lease, cancel    time.Duration
	rps, writeRPS, valueKB   float64
	txnOps                   int
	cloudRPS                 float64
	listLag                  time.Duration
	cpu, memoryMB            float64
	fdLimit                  int
	skewMS                   float64
	gangWaitS, gangPeerS     float64
	teams, objectives, zones string // as TOML
	next                     string // limits to come, as TOML
}

// Job is a job as its user submits it, with the time that its tasks really run.
type Job struct {
	ID       string   `json:"id"`
	Lane     string   `json:"lane"`
	Crew     string   `json:"crew"`
	Shape    string   `json:"shape"`
	Rank     string   `json:"rank"`
	Legs     int      `json:"legs"`
	Cores    float64  `json:"cores"`
	GPUs     float64  `json:"gpus"`
	MemoryGB float64  `json:"memoryGb"`
	Bundle   string   `json:"bundle"`
	SizeGB   float64  `json:"sizeGb"`
	Builds   []string `json:"builds"`
	Yard     *string  `json:"yard"`
	OneZone  bool     `json:"oneZone"`
	Scatter  bool     `json:"scatter"`
	Loaners  bool     `json:"loaners"`
	ExpectS  float64  `json:"expectS"`
	Waypoint float64  `json:"waypointS"`
	Stash    float64  `json:"stashS"`
	DueS     *float64 `json:"dueS"`
	Awaits   []string `json:"awaits,omitempty"`

	RunFor time.Duration `json:"-"`
}

// node is one controller.
type node struct {
	name, area, clientAddress, meshAddress, workerAddress string
	settings                                              string
	command                                               *exec.Cmd
	exited                                                chan struct{}
}

// World holds the stand-ins of one deployment and records what happens.
type World struct {
	limits limits
	dir    string
	binary []string
	nodes  []*node
	state  *State
	cloud  *Cloud
	users  *http.Client
	begun  time.Time

	mu         sync.Mutex
	record     *os.File
	jobs       map[string]*Job
	workers    []*Worker
	running    map[string]map[*Worker]time.Time // by task: the machines that it is on
	completed  map[string]bool
	starts     map[string]int // by job: tasks started
	ended      map[string]int // by job: tasks completed
	violations []string
	onUp       func(w *Worker) // called when a machine is up
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// newWorld makes the folders and reads the deploy file. It must run in the repository's root.
func newWorld(recordPath string, l limits) (*World, error) {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/service.toml has no run command")
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &World{
		limits: l, dir: dir, binary: strings.Fields(string(run[1])), record: record, begun: time.Now(),
		users: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		jobs:  map[string]*Job{}, running: map[string]map[*Worker]time.Time{}, completed: map[string]bool{},
		starts: map[string]int{}, ended: map[string]int{},
	}, nil
}

func (w *World) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *World) logLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that a rule was broken.
func (w *World) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violateLocked(format, args...)
}

func (w *World) violateLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.logLocked("RULE BROKEN: %s", text)
}

// freeAddress returns a loopback address on which nothing listens. Its port is below those that the
// system gives to others meanwhile.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if l, err := net.Listen("tcp4", address); err == nil {
			l.Close()
			return address
		}
	}
}

// serveOn serves a handler on a free loopback address.
func serveOn(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// build makes the stand-ins and the controllers' settings.
func (w *World) build(areas []string, types []MachineType, capacity map[pool]int, bootTime time.Duration) error {
	w.state = newState(w.limits)
	for i, area := range areas {
		n := &node{name: fmt.Sprintf("nest-%d", i), area: area, clientAddress: freeAddress(), meshAddress: freeAddress()}
		n.workerAddress = n.clientAddress
		w.nodes = append(w.nodes, n)
	}
	w.cloud = newCloud(w, types, capacity, w.limits, bootTime)
	cloudAddress, stateAddress := serveOn(w.cloud), serveOn(w.state)
	for i, n := range w.nodes {
		n.settings = filepath.Join(w.dir, n.name+".toml")
		if err := os.WriteFile(n.settings, []byte(w.settingsOf(i, cloudAddress, stateAddress)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) settingsOf(i int, cloud, state string) string {
	n, l := w.nodes[i], w.limits
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\narea = %q\nclient_listen = %q\nmesh_addr = %q\n", n.name, n.area, n.clientAddress, n.meshAddress)
	for j, other := range w.nodes {
		if j != i {
			fmt.Fprintf(&b, "[[others]]\nmember = %q\narea = %q\nendpoint = %q\n", other.name, other.area, other.meshAddress)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n[params]\nsize = %d\nzones = [%s]\nskew_ms = %v\n", cloud, state, len(w.nodes), l.zones, l.skewMS)
	b.WriteString(l.teams + l.objectives)
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %v\nlease_s = %v\ngang_wait_s = %v\ngang_peer_s = %v\ncancel_s = %v\n",
		l.report.Seconds(), l.lease.Seconds(), l.gangWaitS, l.gangPeerS, l.cancel.Seconds())
	fmt.Fprintf(&b, "[params.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = %v\ntxn_ops = %d\n", l.rps, l.writeRPS, l.valueKB, l.txnOps)
	b.WriteString(l.next)
	fmt.Fprintf(&b, "[params.cloud]\nrps = %v\nlist_lag_s = %v\n[params.resources]\ncpu = %v\nmemory_mb = %v\nfd_limit = %d\n",
		l.cloudRPS, l.listLag.Seconds(), l.cpu, l.memoryMB, l.fdLimit)
	return b.String()
}

// start starts a controller with the command of the deploy file.
func (w *World) start(n *node) error {
	args := append(append([]string(nil), w.binary[1:]...), n.settings)
	n.command = exec.Command(w.binary[0], args...)
	logs, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command.Stderr, n.command.Stdout = logs, logs
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), n.command
	n.exited = exited
	go func() {
		err := command.Wait()
		logs.Close()
		w.log("controller %s ended: %v", n.name, err)
		close(exited)
	}()
	w.log("controller %s started, process %d", n.name, n.command.Process.Pid)
	return nil
}

// kill ends a controller without a signal that it could handle.
func (w *World) kill(n *node) {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill()
		<-n.exited
	}
}

// shutdown ends all processes and removes the temporary folder.
func (w *World) shutdown() {
	for _, n := range w.nodes {
		w.kill(n)
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, keep)
	}
	os.RemoveAll(w.dir)
}

// ready reports whether a controller's health check succeeds.
func (w *World) ready(n *node) bool {
	status, _, err := w.call(context.Background(), time.Second, http.MethodGet, n, "/ready", nil)
	return err == nil && status == http.StatusOK
}

// await waits until a condition holds.
func (w *World) await(what string, limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			w.log("reached: %s", what)
			return true
		}
	}
	w.log("not reached within %v: %s", limit, what)
	return false
}

func (w *World) call(ctx context.Context, timeout time.Duration, method string, n *node, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.clientAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := w.users.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// status is an answer about a job.
type status struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ask sends a user's request to one controller, and records it with its answer. The code is 0 if
// there is none.
func (w *World) ask(n *node, method, path string, body []byte) (int, status) {
	timeout := 5 * time.Second
	if method == http.MethodGet {
		timeout = 2 * time.Second
	}
	sent := time.Since(w.begun).Seconds()
	code, out, err := w.call(context.Background(), timeout, method, n, path, body)
	var s status
	if err != nil {
		w.log("user: %s %s at %s, sent at %.3f: no answer: %v", method, path, n.name, sent, err)
		return 0, s
	}
	_ = json.Unmarshal(out, &s)
	w.log("user: %s %s at %s, sent at %.3f: %d %s", method, path, n.name, sent, code, bytes.TrimSpace(out))
	return code, s
}

// submit submits a job at any controller until it is accepted, for up to a minute.
func (w *World) submit(j *Job) bool {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Second) {
		code, _ := w.ask(w.nodes[rand.IntN(len(w.nodes))], http.MethodPost, "/work", body)
		switch code {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// poll asks about a job at a controller that answers; the code is 0 if none does.
func (w *World) poll(id string) (int, status) {
	for range 2 * len(w.nodes) {
		if code, s := w.ask(w.nodes[rand.IntN(len(w.nodes))], http.MethodGet, "/work/"+id, nil); code == 200 || code == 404 {
			return code, s
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, status{}
}

func jobID(leg string) string {
	id, _, _ := strings.Cut(leg, "/")
	return id
}

func (w *World) jobOf(leg string) *Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[jobID(leg)]
}

func (w *World) addWorker(worker *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers = append(w.workers, worker)
	if w.onUp != nil {
		w.onUp(worker)
	}
}

func (w *World) isCompleted(leg string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.completed[leg]
}

// taskStarted records that a task has its image and is on the machine from now on.
func (w *World) taskStarted(worker *Worker, t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("worker %s: %s try %d starts", worker.id, t.Leg, t.Try)
	for other := range w.running[t.Leg] {
		w.violateLocked("ran_twice: %s starts on %s while it is on %s", t.Leg, worker.id, other.id)
	}
	if w.running[t.Leg] == nil {
		w.running[t.Leg] = map[*Worker]time.Time{}
	}
	w.running[t.Leg][worker] = time.Now()
	w.starts[jobID(t.Leg)]++
}

// taskLeft records that a task is no longer on a machine.
func (w *World) taskLeft(worker *Worker, t *workerTask, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("worker %s: %s try %d ends: %s", worker.id, t.Leg, t.Try, why)
	delete(w.running[t.Leg], worker)
	if why == "done" && !w.completed[t.Leg] {
		w.completed[t.Leg] = true
		w.ended[jobID(t.Leg)]++
	}
}

// onMachines returns how many tasks of a job are on machines.
func (w *World) onMachines(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for leg, on := range w.running {
		if jobID(leg) == job {
			n += len(on)
		}
	}
	return n
}

// counts returns how many tasks of a job have started, and how many are completed.
func (w *World) counts(job string) (started, ended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[job], w.ended[job]
}
