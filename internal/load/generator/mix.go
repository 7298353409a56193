// Package generator makes load: streams of requests at given rates, open loop
// and from a seed, and measures who waited how long, what was packed where, and
// what the control of it cost.
package generator

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file is read first: it holds the table of mixes. A new mix is a line in
// the table. Example: "shops" is the morning peak of the tills together with
// the sorting centres' batches and some renewals.

// Stream is one kind of requests.
type Stream struct {
	Name     string
	Caller   registrar.CallerName
	Class    registrar.Class
	Share    float64 // of the requests
	Need     registrar.Need
	RunMin   time.Duration
	RunMax   time.Duration
	Deadline time.Duration
	Once     bool
}

// Mix is a set of streams.
type Mix struct {
	Name    string
	Effect  string
	Streams []Stream
	Target  registrar.Need // capacity of a target
	Slots   int
}

// Mixes is the table of all mixes.
var Mixes = []Mix{
	{
		Name: "shops", Effect: "tills' morning peak with sorting and renewals; targets of 16 cores and 32 GB",
		Target: registrar.Need{CPU: 16000, Memory: 32768}, Slots: 8,
		Streams: []Stream{
			{"till", "tills", registrar.Urgent, 0.80, registrar.Need{CPU: 500, Memory: 256}, 5 * time.Millisecond, 40 * time.Millisecond, 2 * time.Second, false},
			{"sorting", "sorting", registrar.Batch, 0.15, registrar.Need{CPU: 2000, Memory: 4096}, 50 * time.Millisecond, 300 * time.Millisecond, 0, false},
			{"renewal", "renewals", registrar.Standard, 0.05, registrar.Need{CPU: 500, Memory: 512}, 10 * time.Millisecond, 50 * time.Millisecond, 10 * time.Second, true},
		},
	},
	{
		Name: "fjordstrikk", Effect: "monthly knit run with renewals and gifts; targets of 64 cores and 256 GB",
		Target: registrar.Need{CPU: 64000, Memory: 262144}, Slots: 8,
		Streams: []Stream{
			{"pairing", "matching", registrar.Batch, 0.50, registrar.Need{CPU: 8000, Memory: 16384}, 50 * time.Millisecond, 400 * time.Millisecond, 0, false},
			{"renewal", "renewals", registrar.Urgent, 0.35, registrar.Need{CPU: 1000, Memory: 1024}, 5 * time.Millisecond, 30 * time.Millisecond, 5 * time.Second, true},
			{"gift", "gifts", registrar.Standard, 0.15, registrar.Need{CPU: 2000, Memory: 8192}, 20 * time.Millisecond, 100 * time.Millisecond, 10 * time.Second, false},
		},
	},
	{
		Name: "tills", Effect: "tills alone, for rates of starts",
		Target: registrar.Need{CPU: 16000, Memory: 32768}, Slots: 8,
		Streams: []Stream{
			{"till", "tills", registrar.Urgent, 1, registrar.Need{CPU: 500, Memory: 256}, 5 * time.Millisecond, 40 * time.Millisecond, 2 * time.Second, false},
		},
	},
}

// FindMix returns the mix of the given name, or nil.
func FindMix(name string) *Mix {
	for i := range Mixes {
		if Mixes[i].Name == name {
			return &Mixes[i]
		}
	}
	return nil
}
