package storer

import (
	"encoding/binary"
	"hash/crc32"
)

// This file holds the encoding of frames. One frame is written and synced per
// save; it has a checksum, a length and a number that increases by one. Frame 7 is
// written only after frame 6 was synced, so an invalid frame 6 before a valid
// frame 7 is corruption of synced data, while an invalid last frame is a torn
// write that was never acknowledged.

const (
	frameMagic      = 0x4d53544c
	frameHeaderSize = 4 + 8 + 4 + 4 // bytes of magic, number, length, checksum
	maxFrameSize    = 256 << 20     // bytes of payload
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(dst []byte, number uint64, payload []byte) []byte {
	var h [frameHeaderSize]byte
	binary.LittleEndian.PutUint32(h[0:], frameMagic)
	binary.LittleEndian.PutUint64(h[4:], number)
	binary.LittleEndian.PutUint32(h[12:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[16:], frameChecksum(h[:16], payload))
	dst = append(dst, h[:]...)
	return append(dst, payload...)
}

func frameChecksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, payload)
}

type frame struct {
	number  uint64
	payload []byte
	size    int
}

// readFrame reads the frame at the start of data. ok is false if there is no
// complete and valid one.
func readFrame(data []byte) (f frame, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return frame{}, false
	}
	n := int(binary.LittleEndian.Uint32(data[12:]))
	if n > maxFrameSize || len(data) < frameHeaderSize+n {
		return frame{}, false
	}
	payload := data[frameHeaderSize : frameHeaderSize+n]
	if frameChecksum(data[:16], payload) != binary.LittleEndian.Uint32(data[16:]) {
		return frame{}, false
	}
	return frame{binary.LittleEndian.Uint64(data[4:]), payload, frameHeaderSize + n}, true
}

// findLaterFrame returns the offset of the first valid frame with a number above
// after, or -1.
func findLaterFrame(data []byte, after uint64) int {
	for i := 0; i+frameHeaderSize <= len(data); i++ {
		if data[i] != frameMagic&0xff {
			continue
		}
		if f, ok := readFrame(data[i:]); ok && f.number > after {
			return i
		}
	}
	return -1
}
