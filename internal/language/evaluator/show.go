package evaluator

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/language/parser"
)

// This file evaluates queries: rows are filtered, grouped, sorted, cut to the
// limit and reduced to the wanted columns, in this order.

// Table is the result of a query. Index is the log index that it shows.
type Table struct {
	Index   registrar.Index
	Term    registrar.Term
	Columns []string
	Rows    [][]string
}

// Show evaluates a query.
func Show(q *parser.Show, src *Source) (*Table, error) {
	th, err := findThing(q.Thing)
	if err != nil {
		return nil, err
	}
	rows, err := filter(th, q, src)
	if err != nil {
		return nil, err
	}
	columns := th.columns
	if len(q.GroupBy) > 0 {
		if columns, rows, err = group(th, q.GroupBy, rows); err != nil {
			return nil, err
		}
	}
	shown := &thing{name: th.name, columns: columns}
	if err := order(shown, q.OrderBy, rows); err != nil {
		return nil, err
	}
	if q.Limit > 0 && len(rows) > q.Limit {
		rows = rows[:q.Limit]
	}
	t := &Table{Index: src.State.Applied, Term: src.Status.Term}
	return t, project(t, shown, q.Columns, rows)
}

func filter(th *thing, q *parser.Show, src *Source) ([]row, error) {
	since, err := sinceOf(q, src.Now)
	if err != nil {
		return nil, err
	}
	sinceColumn, _ := th.column("Since")
	var out []row
	for _, r := range th.rows(src) {
		if q.Since != "" && r[sinceColumn].Number < float64(since) {
			continue
		}
		ok, err := matches(th, q.Where, r)
		if err != nil {
			return nil, err
		}
		if ok {
			out = append(out, r)
		}
	}
	if len(out) == 0 && q.Where != nil {
		_, err := matches(th, q.Where, make(row, len(th.columns))) // reports unknown columns
		return nil, err
	}
	return out, nil
}

func sinceOf(q *parser.Show, now time.Time) (registrar.Millis, error) {
	if q.Since == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(q.Since)
	if err != nil {
		return 0, fmt.Errorf("SINCE %q is not a duration such as 30s or 5m", q.Since)
	}
	return registrar.MillisOf(now.Add(-d)), nil
}

func matches(th *thing, or *parser.Or, r row) (bool, error) {
	if or == nil {
		return true, nil
	}
	result := false
	for i := range or.Terms {
		ok, err := matchesAll(th, &or.Terms[i], r)
		if err != nil {
			return false, err
		}
		result = result || ok
	}
	return result, nil
}

func matchesAll(th *thing, and *parser.And, r row) (bool, error) {
	result := true
	for i := range and.Terms {
		ok, err := matchesOne(th, &and.Terms[i], r)
		if err != nil {
			return false, err
		}
		result = result && ok
	}
	return result, nil
}

func matchesOne(th *thing, c *parser.Condition, r row) (bool, error) {
	if c.Nested != nil {
		return matches(th, c.Nested, r)
	}
	i, err := th.column(c.Column)
	if err != nil {
		return false, err
	}
	if c.In != nil {
		return slices.ContainsFunc(c.In, func(v *parser.Value) bool { return compare(r[i], v.Text) == 0 }), nil
	}
	n := compare(r[i], c.Value.Text)
	switch c.Op {
	case "=":
		return n == 0, nil
	case "!=":
		return n != 0, nil
	case "<":
		return n < 0, nil
	case ">":
		return n > 0, nil
	case "<=":
		return n <= 0, nil
	case ">=":
		return n >= 0, nil
	}
	return false, fmt.Errorf("operator %q is not known", c.Op)
}

// compare compares a cell with a literal, as numbers if both are numbers.
func compare(c Cell, literal string) int {
	if f, err := strconv.ParseFloat(literal, 64); err == nil && c.Numeric {
		return cmp.Compare(c.Number, f)
	}
	return cmp.Compare(strings.ToLower(c.Text), strings.ToLower(literal))
}

// group counts the rows with equal values and adds up their resources.
func group(th *thing, by []string, rows []row) ([]string, []row, error) {
	var keys, sums []int
	columns := []string{}
	for _, name := range by {
		i, err := th.column(name)
		if err != nil {
			return nil, nil, err
		}
		keys = append(keys, i)
		columns = append(columns, th.columns[i])
	}
	columns = append(columns, "Count")
	for _, name := range th.sums {
		i, _ := th.column(name)
		if !slices.Contains(keys, i) {
			sums = append(sums, i)
			columns = append(columns, name)
		}
	}
	return columns, addUp(rows, keys, sums), nil
}

func addUp(rows []row, keys, sums []int) []row {
	groups := make(map[string]row)
	var order []string
	for _, r := range rows {
		var id strings.Builder
		for _, k := range keys {
			id.WriteString(r[k].Text + "\x00")
		}
		g, ok := groups[id.String()]
		if !ok {
			g = newGroup(r, keys, len(sums))
			order = append(order, id.String())
		}
		g[len(keys)] = number(int64(g[len(keys)].Number) + 1)
		for n, i := range sums {
			at := len(keys) + 1 + n
			g[at] = number(int64(g[at].Number + r[i].Number))
		}
		groups[id.String()] = g
	}
	slices.Sort(order)
	out := make([]row, 0, len(order))
	for _, id := range order {
		out = append(out, groups[id])
	}
	return out
}

func newGroup(r row, keys []int, sums int) row {
	g := make(row, len(keys)+1+sums)
	for n, k := range keys {
		g[n] = r[k]
	}
	return g
}

func order(th *thing, by []parser.Order, rows []row) error {
	type key struct {
		column     int
		descending bool
	}
	var keys []key
	for _, o := range by {
		i, err := th.column(o.Column)
		if err != nil {
			return err
		}
		keys = append(keys, key{i, o.Descending})
	}
	if len(keys) == 0 {
		keys = append(keys, key{})
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		for _, k := range keys {
			n := compareCells(a[k.column], b[k.column])
			if k.descending {
				n = -n
			}
			if n != 0 {
				return n
			}
		}
		return 0
	})
	return nil
}

func compareCells(a, b Cell) int {
	if a.Numeric && b.Numeric {
		return cmp.Compare(a.Number, b.Number)
	}
	return cmp.Compare(a.Text, b.Text)
}

func project(t *Table, th *thing, wanted []string, rows []row) error {
	if len(wanted) == 0 {
		wanted = th.columns
	}
	var at []int
	for _, name := range wanted {
		i, err := th.column(name)
		if err != nil {
			return err
		}
		at = append(at, i)
		t.Columns = append(t.Columns, th.columns[i])
	}
	t.Rows = make([][]string, 0, len(rows))
	for _, r := range rows {
		cells := make([]string, 0, len(at))
		for _, i := range at {
			cells = append(cells, r[i].Text)
		}
		t.Rows = append(t.Rows, cells)
	}
	return nil
}
