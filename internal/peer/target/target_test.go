package target_test

import (
	"testing"

	"masticroad/internal/peer/target"
)

func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(`{"Name":"t","Address":"127.0.0.1:1","Zone":"a","Capacity":{"MilliCPU":1,"MemoryMiB":1},"Slots":1,"Incarnation":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := target.ParseAnnouncement(data)
		if err == nil && (a.Name == "" || a.Slots <= 0 || a.Capacity.CPU <= 0) {
			t.Fatalf("accepted %+v", a)
		}
	})
}
