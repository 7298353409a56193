package simulator

import (
	"time"

	"masticroad/internal/workflow/definer"
)

// This file holds mixes of work like the first users'.

// Shops returns the mix of the donation shops, with its rates multiplied. At 1
// it fills 48 targets to about four fifths.
func Shops(factor float64) []Kind {
	return []Kind{
		{
			Name: "quote", Rate: 11.6 * factor, Steps: 1.6, Width: 6, Run: time.Second, CPU: 1300, Memory: 1800, Priority: 0, MaxAttempts: 2,
			Slack: 1.5, Grace: 400 * time.Millisecond, Worth: 0.63, ErrorShare: 0.02, Estimate: 0.5, Uneven: 0.3, Copies: 0.3, Apart: 0.15,
			Licence:  definer.Licence{Required: true, BaseLatency: 24 * time.Millisecond, LatencyPerTarget: 340 * time.Microsecond, TicketValidity: 2500 * time.Millisecond},
			Admitted: 0.7, Burst: 2.1,
		},
		{
			Name: "batch", Rate: 1.51 * factor, Steps: 2, Width: 8, Run: 6 * time.Second, CPU: 2700, Memory: 5000, Priority: 2, MaxAttempts: 3,
			Slack: 2.2, Grace: 1200 * time.Millisecond, Worth: 2.78, ErrorShare: 0.05, Estimate: 0.2, Uneven: 0.3, Saves: 0.8, Gang: 0.08, Cancel: 0.05,
			Licence:  definer.Licence{Required: true, BaseLatency: 370 * time.Millisecond, LatencyPerTarget: 5300 * time.Microsecond, TicketValidity: 2500 * time.Millisecond},
			Admitted: 0.35, Poison: 0.03, Burst: 1.3,
		},
		{
			Name: "valuation", Rate: 0.134 * factor, Steps: 1, Width: 8, Run: 320 * time.Millisecond, CPU: 3400, Memory: 3400, Priority: 1,
			Grace: 2500 * time.Millisecond, Worth: 1.33, ErrorShare: 0, Estimate: 0.5, Uneven: 0.15, Apart: 0.7, Lasting: true, Stays: 20 * time.Second,
			Licence:  definer.Licence{Required: true, BaseLatency: 450 * time.Millisecond, LatencyPerTarget: 6500 * time.Microsecond, TicketValidity: 2500 * time.Millisecond},
			Admitted: 0.35,
		},
	}
}

// Auctions returns the mix of the auction houses: narrower quotes and wider batches
// than in Shops, long-running jobs of many small tasks, some of them from the start,
// and a burst of quotes.
func Auctions(factor, burst float64) []Kind {
	mix := Shops(factor)
	quote, batch, valuation := &mix[0], &mix[1], &mix[2]
	quote.Width, quote.CPU, quote.Memory, quote.Burst = 3, 2200, 4100, burst
	batch.Rate, batch.Width, batch.CPU, batch.Memory = batch.Rate/3, 14, 4500, 6500
	valuation.Width, valuation.CPU, valuation.Memory, valuation.Apart = 20, 500, 700, 0.2
	valuation.Initial, valuation.Stays = 4, 45*time.Second
	return mix
}

// Seasons returns the mix of the season planners, with its rates multiplied: quick checks
// and wide builds. At 1 it fills 350 targets of 64 processors to about four fifths.
func Seasons(factor float64) []Kind {
	mix := Shops(factor)
	check, build, watch := &mix[0], &mix[1], &mix[2]
	check.Name, check.Rate, check.Width, check.Run, check.CPU, check.MaxCPU, check.Burst = "check", 35.5*factor, 10, 640*time.Millisecond, 8900, 32000, 1
	build.Name, build.Rate, build.Width, build.Run, build.CPU, build.MaxCPU, build.Burst = "build", 5.33*factor, 21, 3800*time.Millisecond, 18000, 56000, 1
	build.Cancel, build.Gang = 0, 0
	watch.Name, watch.Rate, watch.Width, watch.CPU = "watch", 0.221*factor, 20, 500
	return mix
}
