package main

import (
	"strings"
	"time"
)

func (f *fleet) countDone(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task := range f.done {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// atWork returns how many tasks of a job that lasts are at work, and on which machines.
func (f *fleet) atWork(job string) (n int, machines map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, machines := time.Now(), map[string]bool{}
	for _, m := range f.machines {
		if m.w == nil {
			continue
		}
		for _, r := range m.w.runs {
			if strings.HasPrefix(r.task, job+".") && r.percent(now) == 100 {
				n++
				machines[m.name] = true
			}
		}
	}
	return n, machines
}

func (f *fleet) names(n int) []string {
	var out []string
	for _, m := range f.machines[:n] {
		out = append(out, m.name)
	}
	return out
}

// lostAnswer: the answer to the first upkeep of a wave is lost.
func lostAnswer(p *play) error {
	names := p.fleet.names(4)
	p.cloud.expect(1, names, 1)
	p.cloud.mu.Lock()
	p.cloud.loseAnswer = p.trouble
	p.cloud.mu.Unlock()
	if !p.callers.startWave(1, names, 60, 1) {
		return errCase("the wave was not accepted")
	}
	if !wait(p.ctx, 60*time.Second, func() bool { begun, _, _ := p.cloud.upkeeps(1); return begun == len(names) }) {
		return errCase("the wave has not taken all machines")
	}
	time.Sleep(upkeepTime)
	p.rec.note("the wave is shown as %q", p.callers.waveState(1))
	return nil
}

// handOver: the infrastructure is unavailable for 5 s during a wave, and the machine that
// gives its orders is stopped and started again, as in a roll over the machines.
func handOver(p *play) error {
	names := p.fleet.names(8)
	p.cloud.expect(1, names, 2)
	const outage = 5 * time.Second
	began := time.Now()
	if p.trouble {
		p.cloud.setUnavailable(true)
		time.AfterFunc(outage, func() { p.cloud.setUnavailable(false) })
	}
	if !p.callers.startWave(1, names, 60, 2) {
		return errCase("the wave was not accepted")
	}
	if p.trouble {
		if !wait(p.ctx, 2*time.Second, func() bool { _, refused, _ := p.cloud.upkeeps(1); return refused >= 2 }) {
			return errCase("no order of the wave came during the outage")
		}
		_, _, holder := p.cloud.upkeeps(1)
		d := p.cell.byHolder(holder)
		if d == nil {
			return errCase("the holder " + holder + " is no process of this cell")
		}
		p.cell.roll(d)
	}
	time.Sleep(1500 * time.Millisecond)
	job := "00000000000000bb"
	if !p.callers.submit(job, work{Lasts: true, MaxUnavailable: 1}, step{Count: 6, CPU: 2000, MemMB: 1000, LongRunning: true, MaxPerServer: 1, MaxUnavailable: 1}) {
		return errCase("the job was not accepted")
	}
	if !wait(p.ctx, 20*time.Second, func() bool { n, _ := p.fleet.atWork(job); return n == 6 }) {
		return errCase("the job did not get to work")
	}
	_, at := p.fleet.atWork(job)
	p.rec.note("the job is at work on %v, %d ms after the wave began", at, time.Since(began).Milliseconds())
	if !wait(p.ctx, 60*time.Second, func() bool { begun, _, _ := p.cloud.upkeeps(1); return begun == len(names) }) {
		return errCase("the wave has not taken all machines")
	}
	time.Sleep(upkeepTime)
	return nil
}

// gangCheckpoints: a worker with a member of a gang is taken away.
func gangCheckpoints(p *play) error {
	job := "00000000000000cc"
	const members = 4
	if !p.callers.submit(job, work{Ms: 12000, Saves: true, Gang: members}, step{Count: members, CPU: 2000, MemMB: 1000, EstimateMs: 12000, Checkpointing: true, Gang: true, MaxPerServer: 1}) {
		return errCase("the job was not accepted")
	}
	var at *machine
	if !wait(p.ctx, 10*time.Second, func() bool {
		p.fleet.mu.Lock()
		defer p.fleet.mu.Unlock()
		for _, m := range p.fleet.machines {
			if m.w != nil && m.w.runs[job+".0.0.0"] != nil && !m.w.runs[job+".0.0.0"].began.IsZero() {
				at = m
			}
		}
		return at != nil
	}) {
		return errCase("the gang did not begin")
	}
	if p.trouble {
		at.scaleIn(p.ctx)
	}
	if !wait(p.ctx, 60*time.Second, func() bool { return p.fleet.countDone(job) == members }) {
		return errCase("the gang was not done")
	}
	time.Sleep(time.Second)
	p.rec.note("the job is shown as %q", p.callers.state(job))
	return nil
}
