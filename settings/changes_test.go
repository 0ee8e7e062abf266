package settings_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/settings"
)

func TestCompare(t *testing.T) {
	present := settings.Settings{Name: "edge-1", Peers: []string{"10.0.0.1:7000"}}
	present.SetDefaults()
	require.Equal(t, settings.Changes{}, settings.Compare(present, present))

	next := present
	next.Peers = []string{"10.0.0.2:7000"}
	next.Log.Level = "debug"
	next.Stop.Notice = config.Duration(5 * time.Second)
	next.Listen.Caller = "10.0.0.1:81"
	next.Platform.Watchers = 7
	require.Equal(t, settings.Changes{
		Applicable: []string{"peers", "stop.notice", "log.level"}, NeedRestart: []string{"listen.caller", "platform.watchers"},
	}, settings.Compare(present, next))
}

// TestReloadedAppliesApplicableSettings changes each setting in turn: either Reloaded applies it, or
// Compare reports that it needs a restart.
func TestReloadedAppliesApplicableSettings(t *testing.T) {
	var present settings.Settings
	present.SetDefaults()
	eachSetting(reflect.TypeFor[settings.Settings](), nil, func(path []int) {
		next := present
		field := reflect.ValueOf(&next).Elem().FieldByIndex(path)
		switch field.Kind() {
		case reflect.String:
			field.SetString("other")
		case reflect.Bool:
			field.SetBool(!field.Bool())
		case reflect.Int, reflect.Int64:
			field.SetInt(field.Int() + 1)
		case reflect.Float64:
			field.SetFloat(field.Float() + 1)
		case reflect.Map:
			field.Set(reflect.ValueOf(map[string]string{"other": "other"}))
		case reflect.Slice:
			field.Set(reflect.ValueOf([]string{"10.0.0.9:1"}))
		default:
			t.Fatalf("unsupported kind of setting: %s", field.Kind())
		}
		changes := settings.Compare(present, next)
		require.Equal(t, 1, len(changes.Applicable)+len(changes.NeedRestart))
		require.Equal(t, len(changes.NeedRestart) == 0, reflect.DeepEqual(present.Reloaded(next), next), "%v", changes)
	})
}

// eachSetting calls visit with the index path of each setting that is not a table.
func eachSetting(table reflect.Type, path []int, visit func(path []int)) {
	for index := range table.NumField() {
		fieldPath := append(append([]int(nil), path...), index)
		if table.Field(index).Type.Kind() == reflect.Struct {
			eachSetting(table.Field(index).Type, fieldPath, visit)
			continue
		}
		visit(fieldPath)
	}
}
