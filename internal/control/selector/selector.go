// Package selector picks the first items of an order without sorting the others.
package selector

import "slices"

// smallSort is the size of a part that is sorted as a whole.
const smallSort = 16

// Smallest returns the n smallest items in order, or all if there are fewer. It reorders
// items, of which the result is a part. Compare must be a strict weak order.
func Smallest[T any](items []T, n int, compare func(a, b T) int) []T {
	n = min(max(n, 0), len(items))
	low, high := 0, len(items) // the items before low are not larger, those from high on not smaller than the others
	for n < len(items) && high-low > smallSort {
		i, j := partition(items, low, high, compare)
		switch {
		case n <= j:
			high = j + 1
		case n >= i:
			low = i
		default:
			low, high = n, n // the items between j and i are equal
		}
	}
	first := items[:max(n, high)]
	if n == len(items) {
		first = items
	}
	slices.SortFunc(first, compare)
	return first[:n]
}

// partition moves the items of a part that are smaller than one of them before those that
// are larger. After it, those up to j are not larger and those from i on not smaller.
func partition[T any](items []T, low, high int, compare func(a, b T) int) (i, j int) {
	pivot := median(items[low], items[(low+high)/2], items[high-1], compare)
	i, j = low, high-1
	for i <= j {
		for compare(items[i], pivot) < 0 {
			i++
		}
		for compare(items[j], pivot) > 0 {
			j--
		}
		if i <= j {
			items[i], items[j] = items[j], items[i]
			i++
			j--
		}
	}
	return i, j
}

func median[T any](a, b, c T, compare func(a, b T) int) T {
	if compare(a, b) > 0 {
		a, b = b, a
	}
	switch {
	case compare(c, a) < 0:
		return a
	case compare(c, b) > 0:
		return b
	}
	return c
}
