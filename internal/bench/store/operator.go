package store

import (
	"crypto/ed25519"
	"fmt"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// services is the number of services in the operators' file.
const services = 12

var errRefused = eris.New("operators' file refused")

// operator applies a series of files that differ in their drain times.
type operator struct {
	key     ed25519.PrivateKey
	applied uint64
}

func newOperator() *operator {
	return &operator{
		key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
	}
}

// applyNext runs the apply state machine of the product against the store's memory.
func (o *operator) applyNext(f *fleet) error {
	text := o.nextFile(services)
	p := sign.Proposal{
		File:     text.Name,
		Base:     text.Base,
		Content:  text.Hash(),
		Operator: text.Chair,
	}
	p.Sign(o.key)
	now := f.clock.Now()
	m := head.NewApply(text, p, now.Add(gossipInterval), o.applied)
	actions := m.Step(now, head.Begin{})
	for {
		switch a := actions[0].(type) {
		case head.Get:
			f.meter.read(now)
			e := f.memory.Get(a.Key)
			actions = m.Step(now, head.Got{
				Key:     a.Key,
				Value:   e.Value,
				Version: e.Version,
			})
		case head.Swap:
			f.meter.write(now)
			actions = m.Step(now, swap(f, a))
		case head.Finish:
			if a.Result.Refusal != nil {
				return eris.Wrap(errRefused, a.Result.Refusal.Error())
			}
			o.applied = a.Result.Revision
			return nil
		default:
			return errRefused
		}
	}
}

func swap(f *fleet, a head.Swap) head.Event {
	e, ok := f.memory.Swap(a.Key, a.Version, a.Value)
	if !ok {
		return head.Conflicted{
			Key:     a.Key,
			Value:   e.Value,
			Version: e.Version,
		}
	}
	return head.Swapped{
		Key: a.Key,
	}
}

// nextFile returns the next file, with the given number of services.
func (o *operator) nextFile(services int) file.File {
	f := file.File{
		Name:  "measured",
		Base:  o.applied,
		Chair: "alma",
		Operators: []file.Operator{
			{
				Name: "alma",
				Key:  o.key.Public().(ed25519.PublicKey),
			},
		},
	}
	for i := range services {
		name := fmt.Sprintf("s%05d", i)
		f.Services = append(f.Services, file.Service{
			Spec: spec.Service{
				Name:     name,
				ID:       spec.NewServiceID(name),
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 80),
				Protocol: spec.TCP,
				Contract: spec.Once,
			},
			WeightOn:     file.BrokenFlows,
			DrainSeconds: uint32(1 + o.applied%file.MaxDrainSeconds),
		})
	}
	return f
}
