package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/settings"
)

const valid = `
name = "entry-1"
region = "region-1"
zone = "zone-a"
peers = ["10.0.0.2:7000"]
[listen]
caller = "10.0.0.1:80"
peer = "10.0.0.1:7000"
forward = "10.0.0.1:7001"
admin = "10.0.0.1:9090"
[platform]
address = "http://10.0.0.9:80"
timeout = "2s"
watchers = 3
writes_per_second = 20.0
[pipelining]
requests = 16
total = 256
request_bytes = 65536
answer_bytes = 32768
[resources]
memory_mb = 284
connections = 1000
[stop]
notice = "2s"
sessions = "1h"
[log]
level = "info"
format = "text"
`

// TestInvalidSettingsAreRejected replaces one line at a time of a valid file by an invalid one: the error names the
// setting or the position.
func TestInvalidSettingsAreRejected(t *testing.T) {
	_, err := settings.Decode("good.toml", []byte(valid))
	require.NoError(t, err)
	for _, test := range []struct{ line, invalid, contains string }{
		{`name = "entry-1"`, `name = ""`, "setting name"},
		{`name = "entry-1"`, `name = "a b"`, "setting name"},
		{`name = "entry-1"`, ``, "setting name"},
		{`region = "region-1"`, `region = "R"`, "setting region"},
		{`zone = "zone-a"`, `zone = 5`, "zone"},
		{`zone = "zone-a"`, "zone = \"zone-a\"\nzones = { \"zone-b\" = \"R\" }", "setting zones"},
		{`zone = "zone-a"`, `zoom = "zone-a"`, `unknown key "zoom"`},
		{`peers = ["10.0.0.2:7000"]`, `peers = ["host"]`, "setting peers"},
		{`caller = "10.0.0.1:80"`, `caller = "10.0.0.1"`, "setting listen.caller"},
		{`peer = "10.0.0.1:7000"`, `peer = ":7000"`, "setting listen.peer"},
		{`forward = "10.0.0.1:7001"`, `forward = "10.0.0.1:99999"`, "setting listen.forward"},
		{`admin = "10.0.0.1:9090"`, `admin = "x:9090"`, "setting listen.admin"},
		{`address = "http://10.0.0.9:80"`, `address = "10.0.0.9:80"`, "setting platform.address"},
		{`timeout = "2s"`, `timeout = "2 s"`, "timeout"},
		{`memory_mb = 284`, `memory_mb = 63`, "setting resources.memory_mb"},
		{`memory_mb = 284`, `memory_mb = -1`, "setting resources.memory_mb"},
		{`connections = 1000`, `connections = 63`, "setting resources.connections"},
		{`connections = 1000`, `connections = "many"`, "connections"},
		{`timeout = "2s"`, `timeout = 2`, "setting platform.timeout"},
		{`timeout = "2s"`, `timeout = "2m"`, "setting platform.timeout"},
		{`watchers = 3`, `watchers = -2`, "setting platform.watchers"},
		{`watchers = 3`, `watchers = 21`, "setting platform.watchers"},
		{`writes_per_second = 20.0`, `writes_per_second = 101.0`, "setting platform.writes_per_second"},
		{`requests = 16`, `requests = -2`, "setting pipelining.requests"},
		{`requests = 16`, `requests = 1001`, "setting pipelining.requests"},
		{`total = 256`, `total = -1`, "setting pipelining.total"},
		{`request_bytes = 65536`, `request_bytes = 100`, "setting pipelining.request_bytes"},
		{`answer_bytes = 32768`, `answer_bytes = 16777217`, "setting pipelining.answer_bytes"},
		{`notice = "2s"`, `notice = "11m"`, "setting stop.notice"},
		{`sessions = "1h"`, `sessions = "-1h"`, "setting stop.sessions"},
		{`sessions = "1h"`, `within = "900ms"`, "setting stop.within"},
		{`level = "info"`, `level = "loud"`, "setting log.level"},
		{`format = "text"`, `format = "xml"`, "setting log.format"},
		{`[log]`, `[log`, "bad.toml:"},
	} {
		require.Contains(t, valid, test.line)
		_, err := settings.Decode("bad.toml", []byte(strings.Replace(valid, test.line, test.invalid, 1)))
		require.Error(t, err, test.invalid)
		require.Contains(t, err.Error(), test.contains, test.invalid)
	}
}

// TestStopTimesFitPlatformLimit checks that the notice and session times are shortened to fit the time that the
// platform allows for a graceful shutdown (stop.within).
func TestStopTimesFitPlatformLimit(t *testing.T) {
	for _, test := range []struct{ lines, notice, sessions string }{
		{`notice = "2.1s"`, "2.1s", "0s"},
		{`notice = "2.1s"` + "\n" + `within = "6s"`, "2.1s", "3.6s"},
		{`notice = "2.1s"` + "\n" + `within = "3s"`, "1.5s", "1.2s"},
		{`notice = "2.1s"` + "\n" + `sessions = "1s"` + "\n" + `within = "6s"`, "2.1s", "1s"},
		{`notice = "2.1s"` + "\n" + `sessions = "1h"` + "\n" + `within = "10s"`, "2.1s", "7.6s"},
	} {
		text := strings.Replace(valid, `notice = "2s"`+"\n"+`sessions = "1h"`, test.lines, 1)
		require.NotEqual(t, valid, text)
		decoded, err := settings.Decode("good.toml", []byte(text))
		require.NoError(t, err, test.lines)
		require.Equal(t, test.notice, time.Duration(decoded.Stop.Notice).String(), test.lines)
		require.Equal(t, test.sessions, time.Duration(decoded.Stop.Sessions).String(), test.lines)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = settings.Decode("fuzz.toml", text)
	})
}

// TestMemoryOfUnknownMachineIsBounded guards against a daemon that was told nothing about its machine and takes a quarter of a large
// one for requests.
func TestMemoryOfUnknownMachineIsBounded(t *testing.T) {
	require.LessOrEqual(t, settings.Resources{}.Memory(), int64(settings.DefaultMemoryMB*1_000_000))
	require.Positive(t, settings.Resources{}.Memory())
	require.Equal(t, int64(536_000_000), settings.Resources{MemoryMB: 536}.Memory())
}
