package storer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
	"masticroad/internal/state/storer"
)

// BenchmarkSave measures a synced write for different numbers of entries.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			c := quicktest.New(b)
			folder := b.TempDir()
			c.Assert(storer.Prepare(folder, identity), quicktest.IsNil)
			s := &storer.Storer{Folder: folder}
			_, _, err := s.Open(identity)
			c.Assert(err, quicktest.IsNil)
			index := registrar.Index(0)
			data := []byte(strings.Repeat("x", 120))
			for b.Loop() {
				batch := make([]replicator.Entry, n)
				for i := range batch {
					index++
					batch[i] = replicator.Entry{Index: index, Term: 1, Data: data}
				}
				c.Assert(s.Save(replicator.HardState{Term: 1}, batch), quicktest.IsNil)
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
