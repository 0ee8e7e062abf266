package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/config"
)

// TestEvacuatedZones joins what operators declare and what the platform keeps.
func TestEvacuatedZones(t *testing.T) {
	document := config.Document{
		Revision: 1,
		Content: config.Content{
			Services:   []config.Service{{Name: "prices"}},
			Placements: []config.Placement{{Service: "prices", Backends: []config.Backend{{ID: "b1", Address: "10.0.0.1:80", Zone: "c"}}}},
			Zones:      []config.Zone{{Name: "c", Evacuated: true}, {Name: "b"}, {Name: "a", Evacuated: true}},
		},
		Evacuations: config.Evacuations{Revision: 7, Zones: []string{"a", "d"}},
	}
	require.Equal(t, []string{"a", "c", "d"}, document.Evacuated())
	snapshot, err := config.NewSnapshot(document)
	require.NoError(t, err)
	require.True(t, snapshot.Targets[0].Evacuated["c"])
	require.False(t, snapshot.Targets[0].Evacuated["b"])
}

// TestPartsNeverGoBack tells a daemon documents in any order: no part of what it has in
// force is ever older than before, and all end with the newest of each.
func TestPartsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revision := func(name string) config.Revision { return config.Revision(rapid.IntRange(0, 6).Draw(t, name)) }
		var inForce config.Document
		var highest config.Position
		for range rapid.IntRange(1, 20).Draw(t, "documents") {
			told := config.Document{
				Revision: revision("revision"), Directory: config.Directory{Revision: revision("directory")},
				Evacuations: config.Evacuations{Revision: revision("evacuations")},
			}
			highest = config.Position{
				Revision: max(highest.Revision, told.Revision), Directory: max(highest.Directory, told.Directory.Revision),
				Evacuations: max(highest.Evacuations, told.Evacuations.Revision),
			}
			before := inForce.Position()
			next, newer := inForce.Newest(told)
			require.Equal(t, newer, next.Position() != before)
			inForce = next
			require.Equal(t, highest, inForce.Position())
		}
	})
}
