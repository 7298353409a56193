package tracker

import (
	"cmp"
	"slices"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file keeps the last declarations of workspaces that were removed, as their jobs remain
// subject to those limits. Keys are not kept: they are void.

// keepFormer records the workspaces that the document in force declares and the next one does
// not. It is called before the next one comes into force.
func (s *State) keepFormer(next *definer.Document) {
	if s.Document != nil {
		for i := range s.Document.Workspaces {
			w := s.Document.Workspaces[i]
			w.Keys = nil
			s.former = append(s.former, w)
		}
	}
	s.former = slices.DeleteFunc(s.former, func(w definer.Workspace) bool { return next.Workspace(w.Name) != nil })
	s.forgetFormer()
}

// forgetFormer forgets the removed workspaces that have no jobs left.
func (s *State) forgetFormer() {
	if len(s.former) == 0 {
		return
	}
	used := make(map[definer.WorkspaceName]bool)
	for _, j := range s.Jobs {
		used[j.Workspace] = true
	}
	s.former = slices.DeleteFunc(s.former, func(w definer.Workspace) bool { return !used[w.Name] })
	slices.SortFunc(s.former, func(a, b definer.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	if len(s.former) == 0 {
		s.former = nil
	}
}

// WorkspaceLimit returns the limit of a workspace, the last declared one if it was removed; 0: no
// limit, for each resource.
func (s *State) WorkspaceLimit(name definer.WorkspaceName) registrar.Need {
	if w := s.Document.Workspace(name); w != nil {
		return w.Limit
	}
	for i := range s.former {
		if s.former[i].Name == name {
			return s.former[i].Limit
		}
	}
	return registrar.Need{}
}

// replaces reports whether a document comes into force in place of the present one: it is newer,
// or it is the same one with its workspaces, which a leader of an earlier version did not decode.
func (s *State) replaces(d *definer.Document) bool {
	old := s.Document
	if old == nil || d.Version > old.Version {
		return true
	}
	return s.Format >= FormatWorkspaces && d.Version == old.Version && old.Workspaces == nil && d.Workspaces != nil
}
