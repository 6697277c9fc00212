package adopt_test

import (
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
	"github.com/clementinewing/clementinewing/internal/fake/clock"
)

// services is the length of the first file; it makes two pieces.
const firstServices = 2

// settle is how long a node has, after its last fault, to hold the newest file.
const convergenceTimeout = 60 * time.Second

// lone is one node with a store and one peer that has every file.
type singleNode struct {
	publisher *publisher
	clock     *clock.Clock
	machine   *adopt.Machine
	faults    map[int]string
	calls     int
	// asleep is until when the node takes no event.
	pausedUntil   time.Time
	delayedEvents []adopt.Event
	adopted       []uint64
	violations    []string
}

// accepted is a board with three revisions, the last by the chair.
var publishedRevisions = sync.OnceValue(func() *publisher {
	b := newPublisher()
	b.publish(firstServices)
	b.publish(firstServices + 1)
	b.publishByDecision(firstServices + 2)
	return b
})

// outdated is the head at the first revision.
var firstHead = sync.OnceValue(func() []byte {
	b := newPublisher()
	b.publish(firstServices)
	return b.memory.Get(head.Key).Value
})

func newSingleNode(plan map[int]string, watcher bool) *singleNode {
	l := &singleNode{
		publisher: publishedRevisions().clone(),
		clock:     clock.New(),
		machine:   adopt.New("n0", 1),
		faults:    plan,
	}
	l.step(adopt.Begin{})
	if !watcher {
		l.step(adopt.Members{
			Names: []string{"n0", "a", "b", "c", "d", "e", "f", "g", "h"},
		})
		l.heartbeat()
	}
	l.tick()
	return l
}

func (l *singleNode) tick() {
	l.step(adopt.Tick{})
	l.clock.At(l.resumesAt().Add(200*time.Millisecond), l.tick)
}

// heartbeat tells the node each second what its peer has in force.
func (l *singleNode) heartbeat() {
	l.step(adopt.Heard{
		Revision: l.publisher.newestRevision(),
		Record:   l.publisher.records[l.publisher.newestRevision()],
	})
	l.clock.At(l.resumesAt().Add(time.Second), l.heartbeat)
}

// awake is now, or when the node wakes.
func (l *singleNode) resumesAt() time.Time {
	if l.pausedUntil.After(l.clock.Now()) {
		return l.pausedUntil
	}
	return l.clock.Now()
}

func (l *singleNode) step(e adopt.Event) {
	if l.clock.Now().Before(l.pausedUntil) {
		if _, ok := e.(adopt.Tick); !ok {
			l.delayedEvents = append(l.delayedEvents, e)
		}
		return
	}
	events := append(l.delayedEvents, e)
	l.delayedEvents = nil
	for _, e := range events {
		for _, a := range l.machine.Step(l.clock.Now(), e) {
			l.execute(a)
		}
	}
}

func (l *singleNode) execute(a adopt.Action) {
	switch a := a.(type) {
	case adopt.Adopt:
		l.adopt(a.Held)
	case adopt.Watch:
		l.call(a.Deadline, adopt.WatchEnded{}, adopt.StoreAway{}, func(fault string) adopt.Event {
			return l.watch(a, fault)
		})
	case adopt.Fetch:
		gone := adopt.Missing{
			Hash: a.Hash,
		}
		l.call(a.Deadline, gone, gone, func(fault string) adopt.Event {
			return l.fetch(a, fault)
		})
	}
}

// call answers a call of the node under the fault that is planned for it.
func (l *singleNode) call(deadline time.Time, silence, refusal adopt.Event, answer func(fault string) adopt.Event) {
	fault := l.faults[l.calls]
	l.calls++
	switch fault {
	case "silent":
		l.clock.At(deadline, func() { l.step(silence) })
		return
	case "refused":
		l.clock.After(time.Millisecond, func() { l.step(refusal) })
		return
	case "overtaken":
		l.publisher.publish(firstServices + 3 + l.calls)
	case "paused":
		l.publisher.publish(firstServices + 3 + l.calls)
		l.pausedUntil = l.clock.Now().Add(time.Hour)
	}
	e := answer(fault)
	if e == nil {
		l.clock.At(deadline, func() { l.step(silence) })
		return
	}
	l.clock.After(time.Millisecond, func() { l.step(e) })
	if fault == "paused" {
		l.clock.At(l.pausedUntil, func() { l.step(adopt.Tick{}) })
	}
}

func (l *singleNode) watch(a adopt.Watch, fault string) adopt.Event {
	e := l.publisher.memory.Get(head.Key)
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
	case e.Version <= a.After:
		return nil
	}
	return adopt.HeadRead{
		Value:   e.Value,
		Version: e.Version,
	}
}

func (l *singleNode) fetch(a adopt.Fetch, fault string) adopt.Event {
	part, ok := l.publisher.parts[a.Hash]
	if a.Source == adopt.Store {
		e := l.publisher.memory.Get(head.ContentKey(a.Hash))
		part, ok = e.Value, e.Version > 0
	}
	switch {
	case fault == "corrupt":
		part = append(slices.Clone(part), '#')
	case fault == "stale":
		return nil
	case !ok:
		return adopt.Missing{
			Hash: a.Hash,
		}
	}
	return adopt.Part{
		Hash:  a.Hash,
		Bytes: part,
	}
}

func (l *singleNode) adopt(held *adopt.Held) {
	last := uint64(0)
	if len(l.adopted) > 0 {
		last = l.adopted[len(l.adopted)-1]
	}
	if held.Revision() <= last {
		l.violations = append(l.violations, fmt.Sprintf("revision %d follows %d", held.Revision(), last))
	}
	if held.RecordHash != l.publisher.records[held.Revision()] {
		l.violations = append(l.violations, fmt.Sprintf("revision %d is not the accepted one", held.Revision()))
	}
	if held.File.Hash() != held.Record.Proposal.Content {
		l.violations = append(l.violations, fmt.Sprintf("revision %d is not whole", held.Revision()))
	}
	l.adopted = append(l.adopted, held.Revision())
}

// Every fault hits every call of a watcher and of a node that hears of revisions
// from its peer, alone and in pairs.
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

// runLone gives the calls that the node made until it held the newest file.
func runSingleNode(plan map[int]string, watcher bool) (calls int) {
	l := newSingleNode(plan, watcher)
	until := l.clock.Now().Add(convergenceTimeout)
	for l.clock.Now().Before(until) && l.clock.Next() {
		if l.machine.Held().Revision() == l.publisher.newestRevision() {
			calls = l.calls
			break
		}
		if until.Before(l.pausedUntil) {
			until = l.pausedUntil.Add(convergenceTimeout)
		}
	}
	Expect(l.violations).To(BeEmpty(), "%v", plan)
	Expect(l.machine.Held().Revision()).To(Equal(l.publisher.newestRevision()), "%v", plan)
	return calls
}

var _ = Describe("a revision that no peer can show", func() {
	unknown := adopt.Heard{
		Revision: 1 << 40,
		Record:   file.Sum([]byte("nobody's")),
	}

	It("does not hide the store's head that it came before", func() {
		l := newSingleNode(map[int]string{1: "refused"}, true)
		for l.calls < 2 && l.clock.Next() {
			continue
		}
		l.step(unknown)
		l.clock.Run(l.clock.Now().Add(convergenceTimeout))
		Expect(l.machine.Held().Revision()).To(Equal(l.publisher.newestRevision()))
	})

	It("does not hide a later head", func() {
		l := newSingleNode(map[int]string{}, true)
		l.clock.Run(l.clock.Now().Add(convergenceTimeout))
		l.step(unknown)
		l.publisher.publish(firstServices + 9)
		l.clock.Run(l.clock.Now().Add(convergenceTimeout))
		Expect(l.machine.Held().Revision()).To(Equal(l.publisher.newestRevision()))
		Expect(l.violations).To(BeEmpty())
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
	var first, second *adopt.Held

	BeforeEach(func() {
		b := newPublisher()
		b.publish(1)
		first = activeFileOf(b)
		b.publish(2)
		second = activeFileOf(b)
	})

	It("takes the next revision and a first one", func() {
		Expect(adopt.Verify(nil, second.Record, second.File)).To(BeNil())
		Expect(adopt.Verify(first, second.Record, second.File)).To(BeNil())
	})

	It("never steps back", func() {
		refusal := adopt.Verify(second, first.Record, first.File)
		Expect(refusal.Reason).To(Equal(head.PassedBase))
	})

	It("refuses a file that a stranger signed", func() {
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

	It("refuses a changed record", func() {
		r := second.Record
		r.Proposal.Content = file.Hash{}
		refusal := adopt.Verify(first, r, second.File)
		Expect(refusal.Reason).To(Equal(head.BadSignature))
	})
})

func activeFileOf(b *publisher) *adopt.Held {
	h, _ := b.head()
	f := draft(h.Record.Proposal.Base, int(b.newestRevision()))
	return &adopt.Held{
		Record: h.Record,
		File:   f,
	}
}
