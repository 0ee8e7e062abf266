package settings

import "reflect"

// Changes lists, by their keys in the file, the settings that differ between two Settings.
type Changes struct {
	Applicable  []string // a running daemon can apply them
	NeedRestart []string
}

// Compare returns the differences between the settings in force and new ones.
func Compare(present, next Settings) Changes {
	var changes Changes
	reloaded := present.Reloaded(next)
	compare(reflect.ValueOf(present), reflect.ValueOf(next), reflect.ValueOf(reloaded), "", &changes)
	return changes
}

// compare adds the changes of a table; reloaded holds the settings of a running daemon after a reload.
func compare(present, next, reloaded reflect.Value, table string, changes *Changes) {
	for index := range present.NumField() {
		key := table + present.Type().Field(index).Tag.Get("toml")
		before, after, applied := present.Field(index), next.Field(index), reloaded.Field(index)
		switch {
		case before.Kind() == reflect.Struct:
			compare(before, after, applied, key+".", changes)
		case reflect.DeepEqual(before.Interface(), after.Interface()):
		case reflect.DeepEqual(applied.Interface(), after.Interface()):
			changes.Applicable = append(changes.Applicable, key)
		default:
			changes.NeedRestart = append(changes.NeedRestart, key)
		}
	}
}

// Reloaded returns the settings with those of next that a running daemon can apply. The
// others need a restart.
func (s Settings) Reloaded(next Settings) Settings {
	s.Peers, s.Stop = next.Peers, next.Stop
	s.Log.Level, s.Log.Decisions = next.Log.Level, next.Log.Decisions
	s.Log.LinesPerSecond, s.Log.BytesPerSecond = next.Log.LinesPerSecond, next.Log.BytesPerSecond
	return s
}
