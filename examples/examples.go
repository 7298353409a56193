// Package examples holds the example settings and declarations of the first
// users' two deployments.
package examples

import "embed"

// Files holds shops/ and fjordstrikk/.
//
//go:embed shops fjordstrikk
var Files embed.FS
