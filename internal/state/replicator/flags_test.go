package replicator_test

import "flag"

func flagSet(name, value string) error {
	if !flag.Parsed() {
		flag.Parse()
	}
	return flag.Set(name, value)
}
