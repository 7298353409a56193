package relayer

import "masticroad/internal/peer/leader"

// This file lets a daemon act as a version from before workspaces, for tests of upgrades.

// withoutWorkspaces returns a call as such a version passes it on.
func withoutWorkspaces(call leader.Call) leader.Call {
	dropKey := func(x *leader.Place) *leader.Place {
		if x == nil {
			return nil
		}
		return &leader.Place{Host: x.Host, Path: x.Path}
	}
	call.State, call.Cancel, call.Authenticate = dropKey(call.State), dropKey(call.Cancel), nil
	if call.Submit != nil {
		sub := *call.Submit
		sub.Key = ""
		call.Submit = &sub
	}
	if call.Put != nil {
		call.Put = call.Put.WithoutWorkspaces()
	}
	return call
}
