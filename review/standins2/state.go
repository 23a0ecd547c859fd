package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is a stand-in for the state service of the protocol page.
type stateService struct {
	mu       sync.Mutex
	cond     *sync.Cond
	data     map[string]kv
	epoch    uint64
	log      []event
	leases   map[uint64]*lease
	leaseSeq uint64
	outage   bool
	refused  map[string]bool // nodes that get 503

	rps, writeRPS float64
	valueBytes    int
	txnOps        int
	reqTokens     float64
	writeTokens   float64
	lastRefill    time.Time
	slow          time.Duration
	commits       int
}

type kv struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type event struct {
	Set    string          `json:"set,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStateService(s siteSettings) *stateService {
	st := &stateService{data: map[string]kv{}, leases: map[uint64]*lease{}, refused: map[string]bool{},
		rps: s.rps, writeRPS: s.writeRPS, valueBytes: int(s.valueKB * 1024), txnOps: s.txnOps, lastRefill: time.Now(),
		reqTokens: s.rps, writeTokens: s.writeRPS}
	st.cond = sync.NewCond(&st.mu)
	go st.expireLoop()
	return st
}

func (st *stateService) expireLoop() {
	for range time.Tick(20 * time.Millisecond) {
		st.mu.Lock()
		if !st.outage {
			now := time.Now()
			for id, l := range st.leases {
				if now.After(l.expires) {
					st.dropLease(id)
				}
			}
		}
		st.cond.Broadcast()
		st.mu.Unlock()
	}
}

func (st *stateService) dropLease(id uint64) {
	delete(st.leases, id)
	var keys []string
	for k, v := range st.data {
		if v.lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	st.epoch++
	for _, k := range keys {
		delete(st.data, k)
		st.log = append(st.log, event{Remove: k, Stamp: st.epoch})
	}
	st.trim()
}

func (st *stateService) trim() {
	if len(st.log) > 10000 {
		st.log = append([]event(nil), st.log[len(st.log)-10000:]...)
	}
	st.cond.Broadcast()
}

func (st *stateService) setOutage(on bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.outage = on
	if !on {
		for _, l := range st.leases {
			l.expires = time.Now().Add(l.ttl)
		}
	}
	st.cond.Broadcast()
}

func (st *stateService) setRefused(node string, on bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refused[node] = on
	st.cond.Broadcast()
}

// admit counts a request; it returns a status if the request is refused.
func (st *stateService) admit(node string) int {
	if st.outage || st.refused[node] {
		return 503
	}
	now := time.Now()
	dt := now.Sub(st.lastRefill).Seconds()
	st.lastRefill = now
	st.reqTokens = min(st.rps, st.reqTokens+dt*st.rps)
	st.writeTokens = min(st.writeRPS, st.writeTokens+dt*st.writeRPS)
	if st.reqTokens < 1 {
		return 429
	}
	st.reqTokens--
	return 0
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// buffered keeps a response until the link lets it pass.
type buffered struct {
	status int
	head   http.Header
	body   []byte
}

func (b *buffered) Header() http.Header {
	if b.head == nil {
		b.head = http.Header{}
	}
	return b.head
}
func (b *buffered) WriteHeader(status int) { b.status = status }
func (b *buffered) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

func (b *buffered) sendTo(w http.ResponseWriter) {
	for k, v := range b.head {
		w.Header()[k] = v
	}
	if b.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body)
}

func replyError(w http.ResponseWriter, status int, text string) {
	reply(w, status, map[string]string{"error": text})
}

// handler serves the state service to one node, through a link.
func (st *stateService) handler(node string, l *link) http.Handler {
	mux := http.NewServeMux()
	gated := func(f func(w http.ResponseWriter, r *http.Request, body []byte)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if !l.request(r) {
				panic(http.ErrAbortHandler)
			}
			if d := st.slowness(); d > 0 {
				time.Sleep(d)
			}
			b := &buffered{}
			f(b, r, body)
			if !l.response(r) {
				panic(http.ErrAbortHandler)
			}
			b.sendTo(w)
		}
	}
	mux.HandleFunc("GET /kv", gated(func(w http.ResponseWriter, r *http.Request, _ []byte) {
		st.mu.Lock()
		defer st.mu.Unlock()
		if s := st.admit(node); s != 0 {
			replyError(w, s, "refused")
			return
		}
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		if most <= 0 || most > 1000 {
			most = 1000
		}
		var keys []string
		for k := range st.data {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		items, size, more := []map[string]any{}, 0, false
		for _, k := range keys {
			if len(items) == most || size > 500*1024 {
				more = true
				break
			}
			v := st.data[k]
			size += len(v.value) + len(k) + 40
			items = append(items, map[string]any{"path": k, "data": v.value, "stamp": v.stamp})
		}
		reply(w, 200, map[string]any{"items": items, "more": more, "epoch": st.epoch})
	}))
	mux.HandleFunc("GET /follow", func(w http.ResponseWriter, r *http.Request) {
		if !l.request(r) {
			panic(http.ErrAbortHandler)
		}
		b := &buffered{}
		st.follow(b, r, node)
		if !l.response(r) {
			panic(http.ErrAbortHandler)
		}
		b.sendTo(w)
	})
	mux.HandleFunc("POST /commit", gated(func(w http.ResponseWriter, r *http.Request, body []byte) { st.commit(w, node, body) }))
	mux.HandleFunc("POST /leases", gated(func(w http.ResponseWriter, r *http.Request, body []byte) {
		st.mu.Lock()
		defer st.mu.Unlock()
		if s := st.admit(node); s != 0 {
			replyError(w, s, "refused")
			return
		}
		var in struct {
			LifeMs int64 `json:"lifeMs"`
		}
		_ = json.Unmarshal(body, &in)
		st.leaseSeq++
		ttl := time.Duration(in.LifeMs) * time.Millisecond
		st.leases[st.leaseSeq] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]uint64{"permit": st.leaseSeq})
	}))
	mux.HandleFunc("POST /leases/{id}/touch", gated(func(w http.ResponseWriter, r *http.Request, _ []byte) {
		st.mu.Lock()
		defer st.mu.Unlock()
		if s := st.admit(node); s != 0 {
			replyError(w, s, "refused")
			return
		}
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		le := st.leases[id]
		if le == nil || time.Now().After(le.expires) {
			replyError(w, 404, "no such lease")
			return
		}
		le.expires = time.Now().Add(le.ttl)
		reply(w, 200, map[string]uint64{"permit": id})
	}))
	mux.HandleFunc("DELETE /leases/{id}", gated(func(w http.ResponseWriter, r *http.Request, _ []byte) {
		st.mu.Lock()
		defer st.mu.Unlock()
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		st.dropLease(id)
		reply(w, 200, struct{}{})
	}))
	return mux
}

func (st *stateService) slowness() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.slow
}

func (st *stateService) follow(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("holdMs"))
	st.mu.Lock()
	defer st.mu.Unlock()
	if s := st.admit(node); s != 0 {
		replyError(w, s, "refused")
		return
	}
	deadline := time.Now().Add(time.Duration(hold) * time.Millisecond)
	for {
		blocked := st.outage || st.refused[node]
		if !blocked {
			if len(st.log) == 10000 && after < st.log[0].Stamp-1 {
				replyError(w, 410, "too old")
				return
			}
			i := sort.Search(len(st.log), func(i int) bool { return st.log[i].Stamp > after })
			news := []event{}
			for _, e := range st.log[i:] {
				if strings.HasPrefix(e.Set+e.Remove, prefix) {
					news = append(news, e)
				}
			}
			if len(news) > 0 || time.Now().After(deadline) {
				reply(w, 200, map[string]any{"epoch": st.epoch, "news": news})
				return
			}
		}
		if r.Context().Err() != nil {
			return
		}
		st.cond.Wait()
	}
}

func (st *stateService) commit(w http.ResponseWriter, node string, body []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if s := st.admit(node); s != 0 {
		replyError(w, s, "refused")
		return
	}
	var in struct {
		Guards []struct {
			Path  string `json:"path"`
			Stamp uint64 `json:"stamp"`
		} `json:"guards"`
		Writes []struct {
			Set    string          `json:"set"`
			Data   json.RawMessage `json:"data"`
			Permit uint64          `json:"permit"`
			Remove string          `json:"remove"`
		} `json:"writes"`
	}
	if json.Unmarshal(body, &in) != nil || len(body) > 64*1024 || len(in.Writes) > st.txnOps || len(in.Guards) > 4*st.txnOps {
		replyError(w, 400, "malformed or too large")
		return
	}
	for _, x := range in.Writes {
		if len(x.Data) > st.valueBytes {
			replyError(w, 400, "value too large")
			return
		}
		if n := len(x.Set + x.Remove); n < 1 || n > 200 {
			replyError(w, 400, "bad key")
			return
		}
	}
	if st.writeTokens < float64(len(in.Writes)) {
		replyError(w, 429, "write rate")
		return
	}
	st.writeTokens -= float64(len(in.Writes))
	for _, x := range in.Writes {
		if x.Permit != 0 && (st.leases[x.Permit] == nil || time.Now().After(st.leases[x.Permit].expires)) {
			replyError(w, 400, "no such lease")
			return
		}
	}
	failed := []string{}
	for _, g := range in.Guards {
		if st.data[g.Path].stamp != g.Stamp {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "epoch": st.epoch})
		return
	}
	if len(in.Writes) > 0 {
		st.epoch++
		st.commits++
		for _, x := range in.Writes {
			if x.Set != "" {
				st.data[x.Set] = kv{x.Data, st.epoch, x.Permit}
				st.log = append(st.log, event{Set: x.Set, Data: x.Data, Stamp: st.epoch})
			} else {
				delete(st.data, x.Remove)
				st.log = append(st.log, event{Remove: x.Remove, Stamp: st.epoch})
			}
		}
		st.trim()
	}
	reply(w, 200, map[string]uint64{"epoch": st.epoch})
}

// lowerLimits puts the limits of state.next in force.
func (st *stateService) lowerLimits(s siteSettings) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.valueBytes, st.txnOps, st.writeRPS = int(s.nextValueKB*1024), s.nextTxnOps, s.nextWriteRPS
}

// read returns the value of a key, for the record and to find the holders of roles.
func (st *stateService) read(key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return string(st.data[key].value)
}

// scan returns the keys with a prefix and their values.
func (st *stateService) scan(prefix string) map[string]string {
	st.mu.Lock()
	defer st.mu.Unlock()
	out := map[string]string{}
	for k, v := range st.data {
		if strings.HasPrefix(k, prefix) {
			out[k] = string(v.value)
		}
	}
	return out
}
