package planner

import (
	"cmp"
	"container/heap"
)

// This file keeps the daemons through which the licensing service is called ordered by their
// backlog. Each request asks for the first one, and a large cell has hundreds of them.

// proxyQueue is a heap of proxies, those that take no further call last.
type proxyQueue []*licenceProxy

func (q proxyQueue) Len() int { return len(q) }

func (q proxyQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.isFull() != b.isFull() {
		return b.isFull()
	}
	return cmp.Or(a.busyUntil.Compare(b.busyUntil), cmp.Compare(a.id, b.id)) < 0
}

func (q proxyQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push adds a proxy at the end. It is called by heap.Push.
func (q *proxyQueue) Push(x any) {
	a := x.(*licenceProxy)
	a.place = len(*q)
	*q = append(*q, a)
}

// Pop removes the proxy at the end. It is called by heap.Remove.
func (q *proxyQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	a.place = -1
	return a
}

// update restores the order after a change of a proxy, which may have been removed.
func (q *proxyQueue) update(a *licenceProxy) {
	if a.place >= 0 {
		heap.Fix(q, a.place)
	}
}

func (a *licenceProxy) isFull() bool { return a.calls >= maxCallsPerProxy }

// leastLoadedProxy returns the proxy with the smallest backlog that takes another call, or nil.
func (p *Planner) leastLoadedProxy() *licenceProxy {
	if len(p.proxyQueue) == 0 || p.proxyQueue[0].isFull() {
		return nil
	}
	return p.proxyQueue[0]
}
