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
	CallerKey       = "bilberry-dev"
	OperatorToken   = "bilberry-dev-operator"
	OperatorName    = "dev" // name of the token in the audit trail
	callerWorkspace = "bilberry-dev"
)

// workspacesLine matches the line that starts the workspaces section, also with an empty map as its value.
var workspacesLine = regexp.MustCompile(`(?m)^workspaces:[ \t]*(\{\}[ \t]*)?(#.*)?$`)

// withCallerKey adds a workspace for CallerKey to the text, unless a workspace of the text accepts that key already.
func withCallerKey(text []byte) ([]byte, *fleet.Snapshot, error) {
	snapshot, err := parseText(text)
	if err != nil {
		return nil, nil, err
	}
	if _, _, ok := snapshot.WorkspaceByKey(CallerKey); ok {
		return text, snapshot, nil
	}
	workspaceYAML := fmt.Sprintf("workspaces:\n  %s:\n    key_hashes: [%q]", callerWorkspace, fleet.Hash([]byte(CallerKey)))
	if loc := workspacesLine.FindIndex(text); loc != nil {
		text = slices.Concat(text[:loc[0]], []byte(workspaceYAML), text[loc[1]:])
	} else {
		text = slices.Concat(text, []byte("\n"+workspaceYAML+"\n"))
	}
	snapshot, err = parseText(text)
	return text, snapshot, errors.Wrapf(err, "adding workspace %s", callerWorkspace)
}

func parseText(text []byte) (*fleet.Snapshot, error) {
	snapshot, faults := fleet.NewSnapshot(0, text)
	if len(faults) > 0 {
		return nil, errors.Errorf("configuration text: %s", faults[0])
	}
	return snapshot, nil
}

// engineNames returns the sorted engine names of all models, at most maxEngines unless that is 0. Engines are chosen from
// each model in turn, so that a limit leaves no model without an engine unless it is below the number of models.
func engineNames(s *fleet.Snapshot, maxEngines int) ([]string, error) {
	var perModel [][]string
	maxPerModel := 0
	for _, model := range sortedKeys(s.Text.Models) {
		names, err := fleet.ExpandNames(s.Text.Models[model].Endpoints)
		if err != nil {
			return nil, err
		}
		perModel = append(perModel, names)
		maxPerModel = max(maxPerModel, len(names))
	}
	var chosen []string
	for i := range maxPerModel {
		for _, names := range perModel {
			if i < len(names) && !slices.Contains(chosen, names[i]) && (maxEngines == 0 || len(chosen) < maxEngines) {
				chosen = append(chosen, names[i])
			}
		}
	}
	slices.Sort(chosen)
	return chosen, nil
}

// serviceNames returns the sorted endpoint names of all plain services.
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
