package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
)

// TestEvacuatedZones checks that declared evacuations and those on the platform are combined.
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
	require.Equal(t, []string{"a", "c", "d"}, document.EvacuatedZones())
	snapshot, err := config.NewSnapshot(document)
	require.NoError(t, err)
	require.True(t, snapshot.Targets[0].EvacuatedZones["c"])
	require.False(t, snapshot.Targets[0].EvacuatedZones["b"])
}

// TestDocumentPartsNeverGetOlder offers documents in any order to a daemon: no part of the document in force
// ever becomes older, and each part ends up at its newest version.
func TestDocumentPartsNeverGetOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := func(name string) objectstore.Version {
			return objectstore.NewVersion(rapid.Uint64Range(0, 2).Draw(t, name+" era"), rapid.Uint64Range(0, 6).Draw(t, name))
		}
		var inForce config.Document
		var newest config.Position
		for range rapid.IntRange(1, 20).Draw(t, "documents") {
			offered := config.Document{
				Revision: config.Revision(rapid.IntRange(0, 6).Draw(t, "revision")), StoreVersion: version("stored"),
				Directory:   config.Directory{Revision: version("directory")},
				Evacuations: config.Evacuations{Revision: version("evacuations")},
			}
			switch {
			case offered.Revision > newest.Revision:
				newest.Revision, newest.StoreVersion = offered.Revision, offered.StoreVersion
			case offered.Revision == newest.Revision:
				newest.StoreVersion = max(newest.StoreVersion, offered.StoreVersion)
			}
			newest.Directory = max(newest.Directory, offered.Directory.Revision)
			newest.Evacuations = max(newest.Evacuations, offered.Evacuations.Revision)
			before := inForce.Position()
			next, newer := inForce.MergeNewest(offered)
			require.Equal(t, newer, next.Position() != before)
			inForce = next
			require.Equal(t, newest, inForce.Position())
		}
	})
}
