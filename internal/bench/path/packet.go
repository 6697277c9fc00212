package path

import (
	"encoding/binary"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	smallPacket = 64
	largePacket = 1400
	headerBytes = 40
	flagSyn     = 0x02
	flagAck     = 0x10
)

// writePacket fills all of b with a TCP packet of the flow.
func writePacket(b []byte, k link.Key, sequence uint32, flags uint8) {
	b[0] = 0x45
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	b[8] = 64
	b[9] = k.Protocol
	binary.BigEndian.PutUint32(b[12:], k.Caller)
	binary.BigEndian.PutUint32(b[16:], k.Target)
	binary.BigEndian.PutUint16(b[20:], k.CallerPort)
	binary.BigEndian.PutUint16(b[22:], k.TargetPort)
	binary.BigEndian.PutUint32(b[24:], sequence)
	b[32] = 5 << 4
	b[33] = flags
}
