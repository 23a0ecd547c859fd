// Command standins2 runs the controllers of the project as processes against stand-ins of the state
// service, the cloud, the workers and the users, and checks the rules of the protocol page.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var rng = rand.New(rand.NewPCG(1, 1))

func main() {
	scenario := flag.String("case", "hunt", "the case")
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	secs := flag.Float64("secs", 100, "seconds of a hunt")
	siteName := flag.String("site", "sahil-muscat", "settings")
	scale := flag.Float64("scale", 1, "factor of the workers' times, for hunts only")
	recordFile := flag.String("record", "record.txt", "the record")
	dir := flag.String("dir", "", "a temporary folder")
	tight := flag.Bool("tight", false, "low limits, for hunts only")
	flag.Parse()
	rng = rand.New(rand.NewPCG(*seed, 7))
	makeSite := sites[*siteName]
	if makeSite == nil {
		fatal("no site %q", *siteName)
	}
	site := makeSite()
	if *scale != 1 {
		for _, d := range []*time.Duration{&site.report, &site.lease, &site.cancel, &site.listLag} {
			*d = time.Duration(float64(*d) * *scale)
		}
	}
	if *tight {
		for t := range site.teamMax {
			site.teamMax[t], site.teamGuarantee[t] = 20, 8
		}
		for k := range site.capacity {
			site.capacity[k] = max(1, site.capacity[k]/2)
		}
	}
	if *dir == "" {
		*dir, _ = os.MkdirTemp("", "standins2")
	}
	w := newWorld(site, *dir, *recordFile)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.shutdown()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f := cases[*scenario]
	if f == nil {
		fatal("no case %q", *scenario)
	}
	if *scenario != "hunt" {
		time.AfterFunc(117*time.Second, func() { fatal("it takes too long") })
	}
	f(w, trouble, time.Duration(*secs*float64(time.Second)))
	w.shutdown()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.violations {
		fmt.Println("rule broken:", v)
	}
	if len(w.violations) > 0 {
		os.Exit(1)
	}
	fmt.Println("the rules held;", w.check.starts, "starts,", len(w.order), "jobs")
}

var sites = map[string]func() siteSettings{"sahil-muscat": sahil, "gebeya-addis": gebeya, "sahil-muscat-next": sahilNext, "gebeya-addis-next": gebeyaNext}

var cases = map[string]func(w *world, trouble bool, d time.Duration){"hunt": hunt, "mistakes": mistakes}

// begin starts all controllers and waits until they serve.
func (w *world) begin() {
	for _, n := range w.nodes {
		n.start()
	}
	if !w.await("all nodes are healthy", 30*time.Second, func() bool {
		for _, n := range w.nodes {
			n.mu.Lock()
			ok := n.healthy
			n.mu.Unlock()
			if !ok {
				return false
			}
		}
		return w.leader() != nil && w.scheduler() != nil
	}) {
		fatal("the controllers do not serve")
	}
}
