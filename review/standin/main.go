// Command standin plays the cases of the review: it starts the project's controllers as processes,
// and is their state service, cloud, workers and users.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases maps the name of a case to the function that plays it. With trouble false it leaves out the
// disruption. It returns an error if the case could not run.
var cases = map[string]struct {
	areas    []string
	limits   func() limits
	types    func() []MachineType
	capacity func() map[pool]int
	play     func(w *World, trouble bool) error
}{
	"full-record":    {[]string{"seeb", "ruwi", "seeb"}, sahilNext, sahilTypes, sahilNextCapacity, playFullRecord},
	"guest":          {[]string{"kality", "bole", "piassa", "kality", "bole", "piassa", "kality"}, gebeyaOps, gebeyaTypes, gebeyaOpsCapacity, playGuest},
	"faulty-machine": {[]string{"seeb", "ruwi", "seeb"}, sahilNext, sahilTypes, sahilNextCapacity, playFaultyMachine},
}

func main() {
	runtime.LockOSThread() // the controllers end with the thread that started them
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return cannotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return cannotRun
	}
	w, err := newWorld(os.Args[2], c.limits())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.shutdown()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, trouble %v", os.Args[1], trouble)
	if err := w.build(c.areas, c.types(), c.capacity(), time.Second); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cannotRun
		}
	}
	result := make(chan error, 1)
	go func() { result <- c.play(w, trouble) }()
	select {
	case err = <-result:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(119 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	if err != nil {
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) > 0 {
		for _, v := range w.violations {
			fmt.Println("rule broken:", v)
		}
		return broken
	}
	w.logLocked("the rules held")
	fmt.Println("the rules held")
	return held
}
