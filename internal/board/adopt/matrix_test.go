package adopt_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/edge/board"
	"github.com/clementinewing/clementinewing/internal/fake/clock"
	fake "github.com/clementinewing/clementinewing/internal/fake/store"
)

// firstServices is the number of services in the first file, which has two pieces.
const firstServices = 2

// convergenceTimeout is how long after the last fault a node may take to activate the
// newest file.
const convergenceTimeout = 60 * time.Second

// singleNode is one node with a store and one peer that has every file.
type singleNode struct {
	publisher *publisher
	clock     *clock.Clock
	machine   *adopt.Machine
	faults    map[int]string
	calls     int
	// pausedUntil is until when the node handles no events.
	pausedUntil   time.Time
	delayedEvents []adopt.Event
	adopted       []uint64
	// restores counts the attempts to write the active file back to the store.
	restores   int
	violations []string
}

// publishedRevisions returns a publisher with three revisions, the last by a decision of
// the chair.
var publishedRevisions = sync.OnceValue(func() *publisher {
	p := newPublisher()
	p.publish(firstServices)
	p.publish(firstServices + 1)
	p.publishByDecision(firstServices + 2)
	return p
})

// firstHead returns the encoded head at the first revision.
var firstHead = sync.OnceValue(func() []byte {
	p := newPublisher()
	p.publish(firstServices)
	return p.memory.Get(head.Key).Value
})

func newSingleNode(faults map[int]string, watcher bool) *singleNode {
	n := &singleNode{
		publisher: publishedRevisions().clone(),
		clock:     clock.New(),
		machine:   adopt.New("n0", 1),
		faults:    faults,
	}
	n.step(adopt.Begin{})
	if !watcher {
		n.step(adopt.Members{
			Names: []string{"n0", "a", "b", "c", "d", "e", "f", "g", "h"},
		})
		n.heartbeat()
	}
	n.tick()
	return n
}

func (n *singleNode) tick() {
	n.step(adopt.Tick{})
	n.clock.At(n.resumesAt().Add(200*time.Millisecond), n.tick)
}

// heartbeat announces the peer's active revision to the node every second.
func (n *singleNode) heartbeat() {
	n.step(adopt.RevisionAnnounced{
		Revision:   n.publisher.newestRevision(),
		RecordHash: n.publisher.recordHashes[n.publisher.newestRevision()],
	})
	n.clock.At(n.resumesAt().Add(time.Second), n.heartbeat)
}

// resumesAt returns the current time, or the end of a pause.
func (n *singleNode) resumesAt() time.Time {
	if n.pausedUntil.After(n.clock.Now()) {
		return n.pausedUntil
	}
	return n.clock.Now()
}

func (n *singleNode) step(e adopt.Event) {
	if n.clock.Now().Before(n.pausedUntil) {
		if _, ok := e.(adopt.Tick); !ok {
			n.delayedEvents = append(n.delayedEvents, e)
		}
		return
	}
	events := append(n.delayedEvents, e)
	n.delayedEvents = nil
	for _, e := range events {
		for _, a := range n.machine.Step(n.clock.Now(), e) {
			n.execute(a)
		}
	}
}

func (n *singleNode) execute(a adopt.Action) {
	switch a := a.(type) {
	case adopt.Adopt:
		n.adopt(a.Active)
	case adopt.Restore:
		n.restores++
		board.Run(context.Background(), &fake.Service{
			Memory: n.publisher.memory,
		}, head.NewRestore(a.Active.Record, a.Active.File, a.Known, a.Deadline, 1))
		n.clock.After(time.Millisecond, func() { n.step(adopt.RestoreEnded{}) })
	case adopt.Watch:
		n.call(a.Deadline, adopt.WatchEnded{}, adopt.WatchFailed{}, func(fault string) adopt.Event {
			return n.watch(a, fault)
		})
	case adopt.Fetch:
		failed := adopt.FetchFailed{
			Hash: a.Hash,
		}
		n.call(a.Deadline, failed, failed, func(fault string) adopt.Event {
			return n.fetch(a, fault)
		})
	}
}

// call answers a call of the node, with the fault planned for it.
func (n *singleNode) call(deadline time.Time, silence, refusal adopt.Event, answer func(fault string) adopt.Event) {
	fault := n.faults[n.calls]
	n.calls++
	switch fault {
	case "silent":
		n.clock.At(deadline, func() { n.step(silence) })
		return
	case "refused":
		n.clock.After(time.Millisecond, func() { n.step(refusal) })
		return
	case "overtaken":
		n.publisher.publish(firstServices + 3 + n.calls)
	case "paused":
		n.publisher.publish(firstServices + 3 + n.calls)
		n.pausedUntil = n.clock.Now().Add(time.Hour)
	}
	e := answer(fault)
	if e == nil {
		n.clock.At(deadline, func() { n.step(silence) })
		return
	}
	n.clock.After(time.Millisecond, func() { n.step(e) })
	if fault == "paused" {
		n.clock.At(n.pausedUntil, func() { n.step(adopt.Tick{}) })
	}
}

func (n *singleNode) watch(a adopt.Watch, fault string) adopt.Event {
	e := n.publisher.memory.Get(head.Key)
	switch {
	case fault == "corrupt":
		return adopt.HeadRead{
			Value:   []byte("{"),
			Version: e.Version,
		}
	case fault == "stale":
		return adopt.HeadRead{
			Value:   firstHead(),
			Version: 1,
		}
	case e.Version <= a.AfterVersion:
		return nil
	}
	return adopt.HeadRead{
		Value:   e.Value,
		Version: e.Version,
	}
}

func (n *singleNode) fetch(a adopt.Fetch, fault string) adopt.Event {
	part, ok := n.publisher.parts[a.Hash]
	if a.Source == adopt.Store {
		e := n.publisher.memory.Get(head.ContentKey(a.Hash))
		part, ok = e.Value, e.Version > 0
	}
	switch {
	case fault == "corrupt":
		part = append(slices.Clone(part), '#')
	case fault == "stale":
		return nil
	case !ok:
		return adopt.FetchFailed{
			Hash: a.Hash,
		}
	}
	return adopt.PartFetched{
		Hash:  a.Hash,
		Bytes: part,
	}
}

func (n *singleNode) adopt(active *adopt.ActiveFile) {
	last := uint64(0)
	if len(n.adopted) > 0 {
		last = n.adopted[len(n.adopted)-1]
	}
	if active.Revision() <= last {
		n.violations = append(n.violations, fmt.Sprintf("revision %d follows %d", active.Revision(), last))
	}
	if active.RecordHash != n.publisher.recordHashes[active.Revision()] {
		n.violations = append(n.violations, fmt.Sprintf("revision %d is not the published one", active.Revision()))
	}
	if active.File.Hash() != active.Record.Proposal.Content {
		n.violations = append(n.violations, fmt.Sprintf("revision %d is incomplete", active.Revision()))
	}
	n.adopted = append(n.adopted, active.Revision())
}

// Injects every fault, alone and in pairs, into every call of a watcher and of a node
// that learns of revisions from its peer. The node must still adopt the newest file.
var _ = Describe("Matrix", func() {
	faults := readFaults()
	for _, watcher := range []bool{true, false} {
		It(fmt.Sprintf("adopts the newest file, watcher %v", watcher), func() {
			calls := runSingleNode(map[int]string{}, watcher)
			// The head or the record, the manifest and two pieces.
			Expect(calls).To(BeNumerically(">=", 4))
			cells := 0
			for step := range calls {
				for _, f := range faults {
					cells++
					runSingleNode(map[int]string{step: f}, watcher)
				}
			}
			for _, f := range faults {
				for _, second := range faults {
					for step := range calls {
						for later := step + 1; later <= calls+1; later++ {
							cells++
							runSingleNode(map[int]string{step: f, later: second}, watcher)
						}
					}
				}
			}
			AddReportEntry("cells", cells)
		})
	}
})

// runSingleNode returns the number of calls until the node had the newest file active.
func runSingleNode(faults map[int]string, watcher bool) (calls int) {
	n := newSingleNode(faults, watcher)
	until := n.clock.Now().Add(convergenceTimeout)
	for n.clock.Now().Before(until) && n.clock.Next() {
		if n.machine.ActiveFile().Revision() == n.publisher.newestRevision() {
			calls = n.calls
			break
		}
		if until.Before(n.pausedUntil) {
			until = n.pausedUntil.Add(convergenceTimeout)
		}
	}
	Expect(n.violations).To(BeEmpty(), "%v", faults)
	Expect(n.machine.ActiveFile().Revision()).To(Equal(n.publisher.newestRevision()), "%v", faults)
	return calls
}

var _ = Describe("a revision that no peer can supply", func() {
	unknown := adopt.RevisionAnnounced{
		Revision:   1 << 40,
		RecordHash: file.Sum([]byte("nobody's")),
	}

	It("does not block the head of the store that it replaced as the target", func() {
		n := newSingleNode(map[int]string{1: "refused"}, true)
		for n.calls < 2 && n.clock.Next() {
			continue
		}
		n.step(unknown)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		Expect(n.machine.ActiveFile().Revision()).To(Equal(n.publisher.newestRevision()))
	})

	It("does not block a later head", func() {
		n := newSingleNode(map[int]string{}, true)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		n.step(unknown)
		n.publisher.publish(firstServices + 9)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		Expect(n.machine.ActiveFile().Revision()).To(Equal(n.publisher.newestRevision()))
		Expect(n.violations).To(BeEmpty())
	})
})

func readFaults() []string {
	text, err := os.ReadFile("testdata/faults.txt")
	must(err)
	var faults []string
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line != "" && line[0] != '#' {
			faults = append(faults, line)
		}
	}
	if len(faults) == 0 {
		panic("no faults")
	}
	return faults
}

var _ = Describe("Verify", func() {
	var first, second *adopt.ActiveFile

	BeforeEach(func() {
		p := newPublisher()
		p.publish(1)
		first = activeFileOf(p)
		p.publish(2)
		second = activeFileOf(p)
	})

	It("accepts the next revision and a first one", func() {
		Expect(adopt.Verify(nil, second.Record, second.File)).To(BeNil())
		Expect(adopt.Verify(first, second.Record, second.File)).To(BeNil())
	})

	It("refuses an earlier revision", func() {
		refusal := adopt.Verify(second, first.Record, first.File)
		Expect(refusal.Reason).To(Equal(head.PassedBase))
	})

	It("refuses a file signed by someone who is not an operator", func() {
		stranger := second.File
		key := ed25519.NewKeyFromSeed([]byte("a stranger has a seed of 32 byte"))
		stranger.Operators = slices.Clone(stranger.Operators)
		stranger.Operators[0].Key = key.Public().(ed25519.PublicKey)
		r := second.Record
		r.Proposal.Content = stranger.Hash()
		r.Proposal.Sign(key)
		refusal := adopt.Verify(first, r, stranger)
		Expect(refusal.Reason).To(Equal(head.BadSignature))
	})

	It("refuses a modified record", func() {
		r := second.Record
		r.Proposal.Content = file.Hash{}
		refusal := adopt.Verify(first, r, second.File)
		Expect(refusal.Reason).To(Equal(head.BadSignature))
	})
})

func activeFileOf(p *publisher) *adopt.ActiveFile {
	h, _ := p.head()
	f := draft(h.Record.Proposal.Base, int(p.newestRevision()))
	return &adopt.ActiveFile{
		Record: h.Record,
		File:   f,
	}
}
