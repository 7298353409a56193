package caller_test

import (
	"testing"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/caller"
)

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"Key":"k","Need":{"MilliCPU":1,"MemoryMiB":1},"Class":"Urgent","Deadline":"2s","Body":{"a":1}}`))
	f.Add([]byte(`{"Key":"","Need":{},"BodyBase64":"?"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, findings := caller.ParseRequest(&registrar.Caller{Name: "shop"}, data, 1<<10, time.Unix(1, 0))
		if (r == nil) == (len(findings) == 0) {
			t.Fatal("neither a request nor a finding, or both")
		}
		if r != nil && (r.Admit.Key == "" || r.Admit.Need.CPU <= 0 || len(r.Body) > 1<<10) {
			t.Fatalf("accepted %+v", r.Admit)
		}
	})
}
