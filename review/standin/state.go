package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is a stand-in for the state service, with the limits of the settings.
type State struct {
	valueBytes int
	txnOps     int

	mu       sync.Mutex
	items    map[string]*stateItem
	epoch    uint64
	history  []stateEvent
	leases   map[uint64]time.Time // when each lease ends
	lifetime map[uint64]time.Duration
	permits  uint64
	changed  chan struct{} // closed and replaced at each change
	requests bucket
	changes  bucket
}

type stateItem struct {
	Data   json.RawMessage
	Stamp  uint64
	Permit uint64
}

type stateEvent struct {
	Set    string          `json:"set,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// bucket is a token bucket that holds one second's worth.
type bucket struct {
	perSecond, tokens float64
	last              time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.perSecond, b.tokens+now.Sub(b.last).Seconds()*b.perSecond)
	b.last = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// historyLength is the number of changes that the state service keeps.
const historyLength = 10000

func newState(l limits) *State {
	s := &State{
		valueBytes: int(l.valueKB * 1024), txnOps: l.txnOps,
		items: map[string]*stateItem{}, leases: map[uint64]time.Time{}, lifetime: map[uint64]time.Duration{},
		changed:  make(chan struct{}),
		requests: bucket{perSecond: l.rps, tokens: l.rps, last: time.Now()},
		changes:  bucket{perSecond: l.writeRPS, tokens: l.writeRPS, last: time.Now()},
	}
	go s.expireLoop()
	return s
}

// expireLoop ends leases, at most 100 ms late.
func (s *State) expireLoop() {
	for range time.Tick(40 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, end := range s.leases {
			if now.After(end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	delete(s.lifetime, id)
	var keys []string
	for key, item := range s.items {
		if item.Permit == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.epoch++
	for _, key := range keys {
		delete(s.items, key)
		s.history = append(s.history, stateEvent{Remove: key, Stamp: s.epoch})
	}
	s.announce()
}

func (s *State) announce() {
	if len(s.history) > historyLength {
		s.history = append([]stateEvent(nil), s.history[len(s.history)-historyLength:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type txn struct {
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

type response struct {
	status int
	body   any
}

func errorBody(text string) map[string]string { return map[string]string{"error": text} }

func badKey(key string) bool { return key == "" || len(key) > 200 || strings.Contains(key, " ") }

// commit carries a transaction out.
func (s *State) commit(body []byte) response {
	var t txn
	if len(body) > 64<<10 || json.Unmarshal(body, &t) != nil || len(t.Writes) > s.txnOps || len(t.Guards) > 4*s.txnOps {
		return response{400, errorBody("malformed or too large")}
	}
	for _, w := range t.Writes {
		if len(w.Data) > s.valueBytes || badKey(w.Set+w.Remove) {
			return response{400, errorBody("value too large")}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.changes.take(float64(len(t.Writes))) {
		return response{429, errorBody("too many changes")}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Permit]; w.Permit != 0 && !ok {
			return response{400, errorBody("no such lease")}
		}
	}
	var failed []string
	for _, g := range t.Guards {
		stamp := uint64(0)
		if item := s.items[g.Path]; item != nil {
			stamp = item.Stamp
		}
		if stamp != g.Stamp {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		return response{409, map[string]any{"failed": failed, "epoch": s.epoch}}
	}
	if len(t.Writes) > 0 {
		s.epoch++
		for _, w := range t.Writes {
			if w.Set != "" {
				s.items[w.Set] = &stateItem{w.Data, s.epoch, w.Permit}
				s.history = append(s.history, stateEvent{Set: w.Set, Data: w.Data, Stamp: s.epoch})
			} else if s.items[w.Remove] != nil {
				delete(s.items, w.Remove)
				s.history = append(s.history, stateEvent{Remove: w.Remove, Stamp: s.epoch})
			}
		}
		s.announce()
	}
	return response{200, map[string]any{"epoch": s.epoch}}
}

func (s *State) list(prefix, after string, most int) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		item := s.items[key]
		size += len(key) + len(item.Data) + 60
		if len(items) >= min(most, 1000) || size > 512<<10 {
			more = true
			break
		}
		items = append(items, map[string]any{"path": key, "data": item.Data, "stamp": item.Stamp})
	}
	return response{200, map[string]any{"items": items, "more": more, "epoch": s.epoch}}
}

// follow waits for changes after a revision.
func (s *State) follow(r *http.Request, prefix string, after uint64, hold time.Duration) response {
	deadline := time.After(hold)
	for expired := hold == 0; ; {
		s.mu.Lock()
		if len(s.history) >= historyLength && s.history[0].Stamp > after+1 {
			s.mu.Unlock()
			return response{410, errorBody("too old")}
		}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > after })
		news := []stateEvent{}
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Set+e.Remove, prefix) {
				news = append(news, e)
			}
		}
		epoch, changed := s.epoch, s.changed
		s.mu.Unlock()
		if len(news) > 0 || expired {
			return response{200, map[string]any{"epoch": epoch, "news": news}}
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return response{503, nil}
		}
	}
}

// ServeHTTP serves the API.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	granted := s.requests.take(1)
	s.mu.Unlock()
	out := response{404, errorBody("no such path")}
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case !granted:
		out = response{429, errorBody("too many requests")}
	case r.Method == http.MethodPost && path == "/commit":
		out = s.commit(body)
	case r.Method == http.MethodGet && path == "/kv":
		most, _ := strconv.Atoi(q.Get("most"))
		out = s.list(q.Get("prefix"), q.Get("after"), most)
	case r.Method == http.MethodGet && path == "/follow":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		hold, _ := strconv.Atoi(q.Get("holdMs"))
		out = s.follow(r, q.Get("prefix"), after, time.Duration(min(hold, 60000))*time.Millisecond)
	case r.Method == http.MethodPost && path == "/leases":
		out = s.grant(body)
	case strings.HasPrefix(path, "/leases/"):
		out = s.lease(r.Method, path)
	}
	writeJSON(w, out.status, out.body)
}

func (s *State) grant(body []byte) response {
	var in struct {
		LifeMs int `json:"lifeMs"`
	}
	if json.Unmarshal(body, &in) != nil || in.LifeMs < 100 || in.LifeMs > 600000 {
		return response{400, errorBody("malformed")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits++
	life := time.Duration(in.LifeMs) * time.Millisecond
	s.leases[s.permits], s.lifetime[s.permits] = time.Now().Add(life), life
	return response{200, map[string]any{"permit": s.permits}}
}

func (s *State) lease(method, path string) response {
	var id uint64
	if _, err := fmt.Sscanf(path, "/leases/%d", &id); err != nil {
		return response{400, errorBody("malformed")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return response{404, errorBody("no such lease")}
	}
	if method == http.MethodDelete {
		s.endLease(id)
	} else {
		s.leases[id] = time.Now().Add(s.lifetime[id])
	}
	return response{200, struct{}{}}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = 500, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
