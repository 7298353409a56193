package replicator

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// This file holds what concerns the membership of a group. A change adds or
// removes one voter and is in force from its append on, so that any two
// majorities overlap. Example: vm3 lost its disk and returns as vm3.2; the
// leader first adds vm3.2, then removes vm3.1.

func encodeVoters(voters []ReplicaID) []byte {
	data, err := cbor.Marshal(voters)
	if err != nil {
		panic(err) // a list of strings can always be encoded
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

// NameOf returns the daemon's name within a replica id: what stands before its
// last dot. A name may be an address, such as "10.1.0.16:7720".
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
