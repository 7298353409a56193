package planner

import (
	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file tells which workspace a submission belongs to and what its runs may occupy.

// workspaceOfKey returns the workspace whose callers use a key, empty if none.
func (p *Planner) workspaceOfKey(key definer.Key) definer.WorkspaceName {
	for i := range p.State.Document.Workspaces {
		for _, k := range p.State.Document.Workspaces[i].Keys {
			if k == key {
				return p.State.Document.Workspaces[i].Name
			}
		}
	}
	return ""
}

// workspaceLimit returns what the runs of a workspace may occupy in total; 0: no limit.
func (p *Planner) workspaceLimit(name definer.WorkspaceName) registrar.Need {
	if w := p.State.Document.Workspace(name); w != nil {
		return w.Limit
	}
	return registrar.Need{}
}
