package replicator

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// This file holds the encoding and arithmetic of the voter list. A membership
// change adds or removes one voter and takes effect when its entry is appended,
// so that any majority of the old list overlaps any majority of the new one. A
// voter that lost its disk is replaced by two changes: vm3.2 is added, then
// vm3.1 is removed.

func encodeVoters(voters []ReplicaID) []byte {
	data, err := cbor.Marshal(voters)
	if err != nil {
		panic(err) // encoding a list of strings can't fail
	}
	return data
}

func decodeVoters(data []byte) []ReplicaID {
	var voters []ReplicaID
	if err := cbor.Unmarshal(data, &voters); err != nil {
		return nil
	}
	return voters
}

// NameOf returns the daemon's name in a replica id: the part before the last
// dot. The name may be an address, such as "10.1.0.16:7720".
func NameOf(id ReplicaID) string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id[:i])
	}
	return string(id)
}

func quorumOf(voters []ReplicaID) int {
	return len(voters)/2 + 1
}

func with(voters []ReplicaID, id ReplicaID) []ReplicaID {
	out := append(slices.Clone(voters), id)
	slices.Sort(out)
	return out
}

func without(voters []ReplicaID, id ReplicaID) []ReplicaID {
	return slices.DeleteFunc(slices.Clone(voters), func(v ReplicaID) bool { return v == id })
}
