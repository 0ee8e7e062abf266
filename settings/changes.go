package settings

import "reflect"

// reloadable are the settings that a running daemon takes over from its file when
// told to, as tables or single keys. Others need a restart.
var reloadable = map[string]bool{
	"peers": true, "stop.notice": true, "stop.sessions": true,
	"log.level": true, "log.decisions": true, "log.lines_per_second": true, "log.bytes_per_second": true,
}

// Changes are the settings that differ between two, by their keys in the file.
type Changes struct {
	Applicable  []string // a running daemon takes them over
	NeedRestart []string
}

// Compare returns what differs between the settings in force and new ones.
func Compare(present, next Settings) Changes {
	var changes Changes
	compare(reflect.ValueOf(present), reflect.ValueOf(next), "", &changes)
	return changes
}

func compare(present, next reflect.Value, table string, changes *Changes) {
	for index := range present.NumField() {
		key := table + present.Type().Field(index).Tag.Get("toml")
		before, after := present.Field(index), next.Field(index)
		switch {
		case before.Kind() == reflect.Struct:
			compare(before, after, key+".", changes)
		case reflect.DeepEqual(before.Interface(), after.Interface()):
		case reloadable[key]:
			changes.Applicable = append(changes.Applicable, key)
		default:
			changes.NeedRestart = append(changes.NeedRestart, key)
		}
	}
}

// Reloaded returns the present settings with what a running daemon can take over of
// new ones.
func (s Settings) Reloaded(next Settings) Settings {
	s.Peers, s.Stop = next.Peers, next.Stop
	s.Log.Level, s.Log.Decisions = next.Log.Level, next.Log.Decisions
	s.Log.LinesPerSecond, s.Log.BytesPerSecond = next.Log.LinesPerSecond, next.Log.BytesPerSecond
	return s
}
