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
const services = 2

// settle is how long a node has, after its last fault, to hold the newest file.
const settle = 60 * time.Second

// lone is one node with a store and one peer that has every file.
type lone struct {
	board   *board
	clock   *clock.Clock
	machine *adopt.Machine
	plan    map[int]string
	calls   int
	// asleep is until when the node takes no event.
	asleep  time.Time
	waiting []adopt.Event
	adopted []uint64
	broken  []string
}

// accepted is a board with three revisions, the last by the chair.
var accepted = sync.OnceValue(func() *board {
	b := newBoard()
	b.apply(services)
	b.apply(services + 1)
	b.collide(services + 2)
	return b
})

// outdated is the head at the first revision.
var outdated = sync.OnceValue(func() []byte {
	b := newBoard()
	b.apply(services)
	return b.memory.Get(head.Key).Value
})

func newLone(plan map[int]string, watcher bool) *lone {
	l := &lone{
		board:   accepted().clone(),
		clock:   clock.New(),
		machine: adopt.New("n0", 1),
		plan:    plan,
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

func (l *lone) tick() {
	l.step(adopt.Tick{})
	l.clock.At(l.awake().Add(200*time.Millisecond), l.tick)
}

// heartbeat tells the node each second what its peer has in force.
func (l *lone) heartbeat() {
	l.step(adopt.Heard{
		Revision: l.board.newest(),
		Record:   l.board.records[l.board.newest()],
	})
	l.clock.At(l.awake().Add(time.Second), l.heartbeat)
}

// awake is now, or when the node wakes.
func (l *lone) awake() time.Time {
	if l.asleep.After(l.clock.Now()) {
		return l.asleep
	}
	return l.clock.Now()
}

func (l *lone) step(e adopt.Event) {
	if l.clock.Now().Before(l.asleep) {
		if _, ok := e.(adopt.Tick); !ok {
			l.waiting = append(l.waiting, e)
		}
		return
	}
	events := append(l.waiting, e)
	l.waiting = nil
	for _, e := range events {
		for _, a := range l.machine.Step(l.clock.Now(), e) {
			l.do(a)
		}
	}
}

func (l *lone) do(a adopt.Action) {
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
func (l *lone) call(deadline time.Time, silence, refusal adopt.Event, answer func(fault string) adopt.Event) {
	fault := l.plan[l.calls]
	l.calls++
	switch fault {
	case "silent":
		l.clock.At(deadline, func() { l.step(silence) })
		return
	case "refused":
		l.clock.After(time.Millisecond, func() { l.step(refusal) })
		return
	case "overtaken":
		l.board.apply(services + 3 + l.calls)
	case "paused":
		l.board.apply(services + 3 + l.calls)
		l.asleep = l.clock.Now().Add(time.Hour)
	}
	e := answer(fault)
	if e == nil {
		l.clock.At(deadline, func() { l.step(silence) })
		return
	}
	l.clock.After(time.Millisecond, func() { l.step(e) })
	if fault == "paused" {
		l.clock.At(l.asleep, func() { l.step(adopt.Tick{}) })
	}
}

func (l *lone) watch(a adopt.Watch, fault string) adopt.Event {
	e := l.board.memory.Get(head.Key)
	switch {
	case fault == "corrupt":
		return adopt.HeadRead{
			Value:   []byte("{"),
			Version: e.Version,
		}
	case fault == "stale":
		return adopt.HeadRead{
			Value:   outdated(),
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

func (l *lone) fetch(a adopt.Fetch, fault string) adopt.Event {
	part, ok := l.board.parts[a.Hash]
	if a.Source == adopt.Store {
		e := l.board.memory.Get(head.ContentKey(a.Hash))
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

func (l *lone) adopt(held *adopt.Held) {
	last := uint64(0)
	if len(l.adopted) > 0 {
		last = l.adopted[len(l.adopted)-1]
	}
	if held.Revision() <= last {
		l.broken = append(l.broken, fmt.Sprintf("revision %d follows %d", held.Revision(), last))
	}
	if held.RecordHash != l.board.records[held.Revision()] {
		l.broken = append(l.broken, fmt.Sprintf("revision %d is not the accepted one", held.Revision()))
	}
	if held.File.Hash() != held.Record.Proposal.Content {
		l.broken = append(l.broken, fmt.Sprintf("revision %d is not whole", held.Revision()))
	}
	l.adopted = append(l.adopted, held.Revision())
}

// Every fault hits every call of a watcher and of a node that hears of revisions
// from its peer, alone and in pairs.
var _ = Describe("Matrix", func() {
	faults := readFaults()
	for _, watcher := range []bool{true, false} {
		It(fmt.Sprintf("adopts the newest file, watcher %v", watcher), func() {
			calls := runLone(map[int]string{}, watcher)
			// The head or the record, the manifest and two pieces.
			Expect(calls).To(BeNumerically(">=", 4))
			cells := 0
			for step := range calls {
				for _, f := range faults {
					cells++
					runLone(map[int]string{step: f}, watcher)
				}
			}
			for _, f := range faults {
				for _, second := range faults {
					for step := range calls {
						for later := step + 1; later <= calls+1; later++ {
							cells++
							runLone(map[int]string{step: f, later: second}, watcher)
						}
					}
				}
			}
			AddReportEntry("cells", cells)
		})
	}
})

// runLone gives the calls that the node made until it held the newest file.
func runLone(plan map[int]string, watcher bool) (calls int) {
	l := newLone(plan, watcher)
	until := l.clock.Now().Add(settle)
	for l.clock.Now().Before(until) && l.clock.Next() {
		if l.machine.Held().Revision() == l.board.newest() {
			calls = l.calls
			break
		}
		if until.Before(l.asleep) {
			until = l.asleep.Add(settle)
		}
	}
	Expect(l.broken).To(BeEmpty(), "%v", plan)
	Expect(l.machine.Held().Revision()).To(Equal(l.board.newest()), "%v", plan)
	return calls
}

var _ = Describe("a revision that no peer can show", func() {
	unknown := adopt.Heard{
		Revision: 1 << 40,
		Record:   file.Sum([]byte("nobody's")),
	}

	It("does not hide the store's head that it came before", func() {
		l := newLone(map[int]string{1: "refused"}, true)
		for l.calls < 2 && l.clock.Next() {
			continue
		}
		l.step(unknown)
		l.clock.Run(l.clock.Now().Add(settle))
		Expect(l.machine.Held().Revision()).To(Equal(l.board.newest()))
	})

	It("does not hide a later head", func() {
		l := newLone(map[int]string{}, true)
		l.clock.Run(l.clock.Now().Add(settle))
		l.step(unknown)
		l.board.apply(services + 9)
		l.clock.Run(l.clock.Now().Add(settle))
		Expect(l.machine.Held().Revision()).To(Equal(l.board.newest()))
		Expect(l.broken).To(BeEmpty())
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
		b := newBoard()
		b.apply(1)
		first = heldOf(b)
		b.apply(2)
		second = heldOf(b)
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

func heldOf(b *board) *adopt.Held {
	h, _ := b.head()
	f := draft(h.Record.Proposal.Base, int(b.newest()))
	return &adopt.Held{
		Record: h.Record,
		File:   f,
	}
}
