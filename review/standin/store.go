package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const pageItems = 500

// item is one item of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// store is the platform's store, as far as the system uses it.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	revision uint64
	// loseWrite is called for each write of the system. If it returns a delay, the write
	// gets no answer and is done after the delay.
	loseWrite func(keys []string) (delay time.Duration)
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1}
}

// put writes an item for the operator.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.set(key, value)
}

func (s *store) set(key string, value []byte) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created}
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv-key", s.getKey)
	m.HandleFunc("GET /v1/kv-range", s.getRange)
	m.HandleFunc("POST /v1/kv-txn", s.commit)
	return m
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, q *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.items[q.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, q *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := q.URL.Query().Get("prefix"), q.URL.Query().Get("after")
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageItems
	list = list[:min(len(list), pageItems)]
	answer(w, http.StatusOK, map[string]any{"items": list, "hasMore": more, "storeRevision": s.revision})
}

// writeBody is the body of a write.
type writeBody struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, q *http.Request) {
	var body writeBody
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	var keys []string
	for _, p := range body.Puts {
		keys = append(keys, p.Key)
	}
	s.mutex.Lock()
	lose := s.loseWrite
	s.mutex.Unlock()
	if lose != nil {
		if delay := lose(keys); delay > 0 {
			time.AfterFunc(delay, func() { s.apply(&body) })
			// The channel stays open without an answer until the caller closes it.
			<-q.Context().Done()
			return
		}
	}
	status, result := s.apply(&body)
	answer(w, status, result)
}

// apply does a write if its condition holds.
func (s *store) apply(body *writeBody) (status int, result map[string]any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range body.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.set(p.Key, p.Value)
	}
	for _, key := range body.Remove {
		delete(s.items, key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// get returns the value of an item.
func (s *store) get(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.items[key].Value
}

// setLoseWrite sets the function that decides which writes get no answer.
func (s *store) setLoseWrite(lose func(keys []string) time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseWrite = lose
}
