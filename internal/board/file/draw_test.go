package file_test

import (
	"fmt"
	"net/netip"

	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// drawFile returns a random valid file of one or more pieces.
func drawFile(t *rapid.T) file.File {
	f := file.File{
		Name:  "drawn",
		Base:  rapid.Uint64Range(0, 1<<40).Draw(t, "base"),
		Chair: "alma",
		Operators: []file.Operator{
			{
				Name: "alma",
				Key:  rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "key"),
			},
		},
	}
	count := rapid.IntRange(1, 300).Draw(t, "services")
	for i := range count {
		name := fmt.Sprintf("s%06d", i)
		f.Services = append(f.Services, file.Service{
			Spec: spec.Service{
				Name:     name,
				ID:       spec.NewServiceID(name),
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
				Protocol: spec.TCP,
				Contract: rapid.SampledFrom([]spec.Contract{spec.Once, spec.Repeatable}).Draw(t, "contract"),
			},
			WeightOn:     file.BrokenFlows,
			Slots:        rapid.Uint32Range(1, 60_000).Draw(t, "slots"),
			DrainSeconds: 60,
		})
	}
	return f
}
