package dev

import (
	"fmt"
	"regexp"
	"slices"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/fleet"
)

// Credentials of the development fleet, which listens on loopback only.
const (
	CallerKey     = "bilberry-dev"
	OperatorToken = "bilberry-dev-operator"
	OperatorName  = "dev" // of the token, in the audit trail
	workspace     = "bilberry-dev"
)

var workspacesLine = regexp.MustCompile(`(?m)^workspaces:[ \t]*(\{\}[ \t]*)?(#.*)?$`)

// withCallerKey returns the text with a workspace for CallerKey, if no workspace accepts the key yet.
func withCallerKey(raw []byte) ([]byte, *fleet.Snapshot, error) {
	s, err := snapshot(raw)
	if err != nil {
		return nil, nil, err
	}
	if _, _, ok := s.WorkspaceByKey(CallerKey); ok {
		return raw, s, nil
	}
	entry := fmt.Sprintf("workspaces:\n  %s:\n    key_hashes: [%q]", workspace, fleet.Hash([]byte(CallerKey)))
	if loc := workspacesLine.FindIndex(raw); loc != nil {
		raw = slices.Concat(raw[:loc[0]], []byte(entry), raw[loc[1]:])
	} else {
		raw = slices.Concat(raw, []byte("\n"+entry+"\n"))
	}
	s, err = snapshot(raw)
	return raw, s, errors.Wrapf(err, "adding workspace %s", workspace)
}

func snapshot(raw []byte) (*fleet.Snapshot, error) {
	s, faults := fleet.NewSnapshot(0, raw)
	if len(faults) > 0 {
		return nil, errors.Errorf("configuration text: %s", faults[0])
	}
	return s, nil
}

// engineNames returns the engines of all models, the first of each model first. A limit of 0 means all.
func engineNames(s *fleet.Snapshot, limit int) ([]string, error) {
	var perModel [][]string
	longest := 0
	for _, model := range sortedKeys(s.Text.Models) {
		names, err := fleet.ExpandNames(s.Text.Models[model].Endpoints)
		if err != nil {
			return nil, err
		}
		perModel = append(perModel, names)
		longest = max(longest, len(names))
	}
	var chosen []string
	for i := range longest {
		for _, names := range perModel {
			if i < len(names) && !slices.Contains(chosen, names[i]) && (limit == 0 || len(chosen) < limit) {
				chosen = append(chosen, names[i])
			}
		}
	}
	slices.Sort(chosen)
	return chosen, nil
}

// serviceNames returns the endpoints of all plain services in order.
func serviceNames(s *fleet.Snapshot) ([]string, error) {
	var all []string
	for _, spec := range s.Text.Services {
		if spec.Kind != fleet.KindPlain {
			continue
		}
		names, err := fleet.ExpandNames(spec.Endpoints)
		if err != nil {
			return nil, err
		}
		all = append(all, names...)
	}
	slices.Sort(all)
	return slices.Compact(all), nil
}
