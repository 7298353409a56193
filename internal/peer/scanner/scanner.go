// Package scanner measures JSON texts without decoding them, as the decoded form of
// short entries is far larger than their text.
package scanner

// Entries returns the number of entries of an object or a list in valid JSON; an empty
// one may count as having one.
func Entries(data []byte) int {
	entries := 1
	scan(data, func(c byte, depth int) {
		if c == ',' && depth == 1 {
			entries++
		}
	})
	return entries
}

// Values returns a bound of the number of values in valid JSON, at all depths.
func Values(data []byte) int {
	values := 1
	scan(data, func(c byte, _ int) {
		if c == ',' || c == '[' || c == '{' {
			values++
		}
	})
	return values
}

// scan calls visit for each comma and bracket outside of strings, with the number of
// lists and objects that are open around it.
func scan(data []byte, visit func(c byte, depth int)) {
	depth, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++ // the escaped character
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			visit(c, depth)
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',':
			visit(c, depth)
		}
	}
}
