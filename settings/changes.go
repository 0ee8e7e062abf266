package settings

import "reflect"

// Changes are the settings that differ between two, by their keys in the file.
type Changes struct {
	Applicable  []string // a running daemon takes them over
	NeedRestart []string
}

// Compare returns what differs between the settings in force and new ones.
func Compare(present, next Settings) Changes {
	var changes Changes
	taken := present.Reloaded(next)
	compare(reflect.ValueOf(present), reflect.ValueOf(next), reflect.ValueOf(taken), "", &changes)
	return changes
}

// compare adds the changes of a table; taken is what a running daemon has afterwards.
func compare(present, next, taken reflect.Value, table string, changes *Changes) {
	for index := range present.NumField() {
		key := table + present.Type().Field(index).Tag.Get("toml")
		before, after, kept := present.Field(index), next.Field(index), taken.Field(index)
		switch {
		case before.Kind() == reflect.Struct:
			compare(before, after, kept, key+".", changes)
		case reflect.DeepEqual(before.Interface(), after.Interface()):
		case reflect.DeepEqual(kept.Interface(), after.Interface()):
			changes.Applicable = append(changes.Applicable, key)
		default:
			changes.NeedRestart = append(changes.NeedRestart, key)
		}
	}
}

// Reloaded returns the present settings with what a running daemon can take over of
// new ones. Others need a restart.
func (s Settings) Reloaded(next Settings) Settings {
	s.Peers, s.Stop = next.Peers, next.Stop
	s.Log.Level, s.Log.Decisions = next.Log.Level, next.Log.Decisions
	s.Log.LinesPerSecond, s.Log.BytesPerSecond = next.Log.LinesPerSecond, next.Log.BytesPerSecond
	return s
}
