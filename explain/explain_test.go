package explain_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/explain"
)

// jsonLog returns a log in JSON. Each line is given as "TIME|DAEMON|MESSAGE|FIELDS": the time
// since 12:00, and further fields in JSON.
func jsonLog(lines ...string) string {
	var log strings.Builder
	for _, line := range lines {
		parts := strings.SplitN(line, "|", 4)
		for len(parts) < 4 {
			parts = append(parts, "")
		}
		fields := ""
		if parts[3] != "" {
			fields = "," + parts[3]
		}
		seconds, _ := time.ParseDuration(parts[0])
		at := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC).Add(seconds)
		fmt.Fprintf(&log, "{\"time\":%q,\"level\":\"INFO\",\"msg\":%q,\"daemon\":%q%s}\n", at.Format(time.RFC3339Nano), parts[2], parts[1], fields)
	}
	return log.String()
}

func readLogs(t *testing.T, logs ...string) *explain.Log {
	log := explain.NewLog()
	for _, text := range logs {
		require.NoError(t, explain.Read(strings.NewReader(text), log))
	}
	return log
}

const (
	chosen = `"request":"r1","attempt_kind":"first","service":"s","backend":"b1","dispatcher":"d2","reason":"least-load","candidates":3,"report_age":5000000,"waited":0,"remaining":900000000`
	failed = `"request":"r1","service":"s","class":"c","refused_by":"d2","revision":5,`
)

// TestCauses guards against a wrong cause for any outcome of a request.
func TestCauses(t *testing.T) {
	for _, test := range []struct {
		name          string
		lines         []string
		kind, subject string
		description   string
		assumption    string
	}{
		{"answered", []string{"1s|d1|routing: chosen|" + chosen, `1.2s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","status":200,"backend_latency":150000000,"total":200000000`},
			"answered", "b1", "b1 answered after 150ms; 50ms were spent", ""},
		{"answered early, body cut", []string{`1.2s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","status":200,"backend_latency":150000000,"total":200000000`,
			`1.4s|d1|frontend: response before the end of the request's body|"request":"r1","service":"s","status":200,"body_bytes":4096,"body_whole":false,"cause":"unexpected EOF","after_response":200000000`},
			"answered", "b1", "before the end of the request's body, of which it got 4096 bytes and then a broken connection, 200ms after the response (unexpected EOF)", ""},
		{"answered early, body whole", []string{`1.2s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","status":200,"backend_latency":150000000,"total":200000000`,
			`1.4s|d1|frontend: response before the end of the request's body|"request":"r1","service":"s","status":200,"body_bytes":4096,"body_whole":true,"cause":"","after_response":200000000`},
			"answered", "b1", "the rest was passed on in the 200ms after that, 4096 bytes in all", ""},
		{"tenant over its share", []string{`1.2s|d1|frontend: failed|` + failed + `"tenant":"north","code":2004,"name":"deadline-too-short","cause":"no place in time: 3 wait; tenant north is over its share of the slots: it needs 72.0 and may use 16.0; tenant north holds most, 16 of 24"`},
			"tenant over its share", "north", "it needs 72.0 and may use 16.0", ""},
		{"tenant within its share", []string{`1.2s|d1|frontend: failed|` + failed + `"tenant":"south","code":2004,"name":"deadline-too-short","cause":"no place in time: 3 wait; tenant south is within its share of the slots: it needs 1.0 and may use 8.0; tenant north holds most, 16 of 24"`},
			"service overloaded", "s", "tenant north holds most", ""},
		{"failure status of the back end", []string{`1.2s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","status":500`},
			"back end's own failure", "b1", "status 500 of its own", ""},
		{"route unknown at all daemons", []string{`0s|d1|configuration: in force|"revision":5,"before":0`, `1s|d1|frontend: failed|"request":"r1","code":2001,"run":"not-run","cause":"host a, path /x"`},
			"route unknown", "d1", "d1 had revision 5, as all others", ""},
		{"route unknown at one daemon", []string{`0s|d1|configuration: in force|"revision":5`, `0.5s|d2|configuration: in force|"revision":7,"source":"platform"`, `1s|d1|frontend: failed|"request":"r1","code":2001`},
			"route not known yet", "d1", "revision 5, which d1 had in force since 12:00:00.000", "Revision 7 was in force at d2 since 12:00:00.500 (from platform)."},
		{"answered by an older configuration", []string{
			`0s|d1|configuration: in force|"revision":25`, `0.2s|d1|platform: the store came back older: what it acknowledged last may be lost|"era":1`,
			`0.5s|d2|configuration: in force|"revision":29,"source":"platform"`, `0.6s|d1|configuration: older document passed over|"revision":25,"offered_revision":29,"offered_stored":"49","source":"platform"`,
			`1.2s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","status":200`},
			"answered", "b1", "b1 answered", "Revision 29 was in force at d2 since 12:00:00.500 (from platform). d1 passed revision 29 (stored at 49, from platform) over at 12:00:00.600. It had heard at 12:00:00.200 that the store came back older (era 1)."},
		{"not configured", []string{"0s|d1|daemon: started|", `0.1s|d1|configuration: source lost|"error":"refused"`, `0.5s|d1|frontend: failed|"request":"r1","code":2014`},
			"daemon had no configuration yet", "d1", "started 500ms before", "refused"},
		{"overloaded", []string{`1s|d1|frontend: answered|"request":"r0","service":"s","backend":"b1"`, "1.1s|d1|frontend: failed|" + failed + `"code":2005,"name":"wait-expired","run":"not-run","cause":"waited 31ms","retry_after":100000000`},
			"service overloaded", "s", "to come back after 100ms. Within 2s, 1 requests of the service were refused and 1 answered", ""},
		{"overloaded after dispatcher change", []string{`0.5s|d2|membership: dispatcher chosen|"service":"s","dispatcher":"d2","before":"d9"`, "1.1s|d1|frontend: failed|" + failed + `"code":2003,"name":"queue-full","run":"not-run"`},
			"service overloaded as its dispatcher changed", "s", "queue-full", `and "d9" before`},
		{"overloaded with evacuated zone", []string{"1.1s|d1|frontend: failed|" + failed + `"code":2004,"run":"not-run","cause":"no place in time: 3 wait; 4 of 9 back ends are in evacuated zones, 2 of 9 back ends are cold"`},
			"service overloaded while a zone is evacuated", "s", "4 of 9 back ends", ""},
		{"overloaded with cold back ends", []string{"1.1s|d1|frontend: failed|" + failed + `"code":2004,"run":"not-run","cause":"no place in time: 3 wait; 2 of 9 back ends are cold"`},
			"service overloaded while back ends are cold", "s", "2 of 9 back ends", ""},
		{"overloaded while back ends return", []string{"1.1s|d1|frontend: failed|" + failed + `"code":2004,"run":"not-run","cause":"no place in time: 3 wait; 2 of 9 back ends are cold, 4 of 9 back ends have exited or are returning"`},
			"service overloaded while back ends return", "s", "4 of 9 back ends", ""},
		{"all zones evacuated", []string{"1.1s|d1|frontend: failed|" + failed + `"code":2006,"run":"not-run","cause":"2 of 2 back ends are in evacuated zones, the others draining"`},
			"zones evacuated", "s", "2 of 2 back ends", ""},
		{"overloaded with ejected back end", []string{`0.5s|d2|outlier: back end ejected|"service":"s","backend":"b7"`, "1.1s|d1|frontend: failed|" + failed + `"code":2005,"run":"not-run"`},
			"service overloaded", "s", "", "left out 1 back ends for failing around then, b7 first"},
		{"no back end", []string{`0s|d1|configuration: in force|"revision":5,"backends":12`, "1s|d1|frontend: failed|" + failed + `"code":2006`},
			"no back end takes requests", "s", "No back end of s", "revision 5 and 12 back ends"},
		{"connection broken", []string{"1s|d1|frontend: failed|" + failed + `"code":3001,"run":"unknown","cause":"back end b2: reset","sent":2,"backends":"b1 b2"`, `1s|d3|frontend: answered|"request":"r0","service":"s","backend":"b2"`},
			"back end broke the connection", "b2", "to b1 b2; whether it ran is not known. Within 2s, b2 answered 1 others and failed 0", ""},
		{"refused by back ends", []string{"1s|d1|frontend: failed|" + failed + `"code":2008,"run":"not-run","sent":1,"backends":"b1"`},
			"back ends refused", "b1", "it has not run", ""},
		{"back end slow", []string{"1s|d1|routing: chosen|" + chosen, `1.8s|d3|frontend: answered|"request":"r0","service":"s","backend":"b1","backend_latency":400000000,"backend_slowdown":5`, "2s|d1|frontend: failed|" + failed + `"code":3002,"sent":1,"backends":"b1","total":1000000000`},
			"back end too slow", "b1", "time ran out after 1s; b1 answered others meanwhile, the slowest after 400ms with a slowdown of 5", "d2 chose b1 among 3 by a report 5ms old, with 900ms left"},
		{"out of time at the back end", []string{"1s|d1|routing: chosen|" + chosen, `1.9s|d3|frontend: answered|"request":"r0","service":"s","backend":"b1","backend_latency":400000000,"backend_slowdown":1`, `2s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","backends":"b1","status":504,"total":1000000000`},
			"back end too slow", "b1", "before b1 gave up with status 504 of its own after 1s; b1 answered others meanwhile", "d2 chose b1"},
		{"back end does not answer", []string{`0.9s|d3|frontend: answered|"request":"r0","service":"s","backend":"b1"`, "1s|d1|routing: chosen|" + chosen, "2s|d1|frontend: failed|" + failed + `"code":3006,"sent":1,"backends":"b1","total":1000000000`},
			"back end silent", "b1", "the caller left after 1s; b1 answered nobody after 12:00:00.900", "by a report 5ms old"},
		{"back end is full and does not answer", []string{`1.4s|d2|routing: back end is full and does not answer|"service":"s","backend":"b1","unanswered":1,"before":0,"in_flight":1`, "1s|d1|routing: chosen|" + chosen, `1.8s|d3|frontend: answered|"request":"r0","service":"s","backend":"b1","backend_latency":100000000`, "2s|d1|frontend: failed|" + failed + `"code":3002,"sent":1,"backends":"b1","total":1000000000`},
			"back end full and silent", "b1", "At 12:00:01.400 d2 found that b1 was full and did not answer, as requests sent there later were answered; it then sent b1 no more than 1 at once.", "d2 chose b1"},
		{"back end was full before the request", []string{`0.4s|d2|routing: back end is full and does not answer|"service":"s","backend":"b1","unanswered":1,"before":0,"in_flight":1`, "1s|d1|routing: chosen|" + chosen, `1.8s|d3|frontend: answered|"request":"r0","service":"s","backend":"b1","backend_latency":100000000`, "2s|d1|frontend: failed|" + failed + `"code":3002,"sent":1,"backends":"b1","total":1000000000`},
			"back end too slow", "b1", "b1 answered others meanwhile", "d2 chose b1"},
		{"back ends paused", []string{"1.1s|d1|frontend: failed|" + failed + `"code":2021,"run":"not-run","cause":"2 of 2 back ends have asked the daemon for a pause","retry_after":3000000000`},
			"back ends asked for a pause", "s", "may come back after 3s", ""},
		{"caller disconnected in the queue", []string{"1s|d1|frontend: failed|" + failed + `"code":2015,"total":30000000`}, "caller left while it waited", "s", "30ms", ""},
		{"caller disconnected before a connection was open", []string{"1s|d1|frontend: failed|" + failed + `"code":2015,"sent":1,"backends":"b1","total":1000000000`}, "back end not reached", "b1", "before the caller left after 1s; it has not run", ""},
		{"response aborted by the caller", []string{`1s|d1|frontend: answer broken off|"request":"r1","service":"s","side":"caller","cause":"write: broken pipe","backends":"b1"`},
			"caller left during the answer", "s", "broken pipe", ""},
		{"response aborted by the back end", []string{`1s|d1|frontend: answer broken off|"request":"r1","service":"s","side":"backend","cause":"unexpected EOF","backends":"b1"`},
			"back end broke its answer off", "b1", "unexpected EOF", ""},
		{"daemon restarted", []string{"1s|d1|routing: chosen|" + chosen, "3s|d1|daemon: started|"}, "daemon ended", "d1", "started again at 12:00:03.000", ""},
		{"no outcome logged", []string{"1s|d1|routing: chosen|" + chosen}, "no outcome logged", "d1", "No line tells", ""},
		{"sent through another daemon", []string{`1s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","status":200,"via":"d2","cut_off":3000000000`},
			"answered", "b1", "b1 answered", "It was sent through d2, as d1 had reached no back end for 3s."},
		{"sent through another daemon to one back end", []string{`1s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","status":200,"via":"d2"`},
			"answered", "b1", "b1 answered", "It was sent through d2, as d1 had not reached b1 itself."},
		{"no daemon reaches the back ends", []string{"1s|d1|frontend: failed|" + failed + `"code":2022,"run":"not-run","cause":"no back end reached for 2s","retry_after":100000000`},
			"no daemon reaches the back ends", "d1", "may come back after 100ms", ""},
		{"other result code", []string{"1s|d1|frontend: failed|" + failed + `"code":2011,"cause":"store down"`}, "store-unavailable", "d1", "store down", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			explanation, err := readLogs(t, jsonLog(test.lines...)).Explain("r1")
			require.NoError(t, err)
			require.Equal(t, test.kind, explanation.Cause.Kind)
			require.Equal(t, test.subject, explanation.Cause.Subject)
			require.Contains(t, explanation.Cause.Description, test.description)
			require.Contains(t, explanation.Cause.Assumption, test.assumption)
			if test.assumption == "" {
				require.NotContains(t, explanation.Cause.Assumption, "around then")
			}
			var printed bytes.Buffer
			require.NoError(t, explanation.Print(&printed))
			require.Contains(t, printed.String(), "Cause: "+test.kind)
		})
	}
}

// TestLinesOfEachDaemonStayInOrder guards against mixing up lines of daemons whose clocks differ: the
// lines of each daemon stay in order. It also reads lines to which a log collector added a prefix.
func TestLinesOfEachDaemonStayInOrder(t *testing.T) {
	prefixed := "2.5 node-a " + strings.ReplaceAll(jsonLog(
		`1s|d1|routing: forwarded|"request":"r1","service":"s","dispatcher":"d2"`,
		`1.3s|d1|frontend: answered|"request":"r1","service":"s","backend":"b1","status":200`), "\n{", "\n2.5 node-a {")
	dispatcher := jsonLog("1.2s|d2|routing: chosen|"+chosen, `1.1s|d2|frontend: answered|"request":"r1","service":"s","backend":"b1","status":200`)
	log := readLogs(t, dispatcher, prefixed, "no line\n{\"a\": 1}\n")
	require.Equal(t, 4, log.LineCount())
	explanation, err := log.Explain("r1")
	require.NoError(t, err)
	var order []string
	for _, line := range explanation.Lines {
		order = append(order, line.Daemon+" "+line.Message)
	}
	require.Equal(t, []string{
		"d1 routing: forwarded", "d1 frontend: answered", "d2 routing: chosen", "d2 frontend: answered",
	}, order)
	_, err = log.Explain("r2")
	require.ErrorIs(t, err, errors.NotFound)
}

// TestReadTextFormat reads lines in the text format.
func TestReadTextFormat(t *testing.T) {
	explanation, err := readLogs(t, `x time=2026-01-01T12:00:01Z level=INFO msg="frontend: failed" daemon=d1 request=12e4 code=2005 name=wait-expired run=not-run cause="waited 31ms" retry_after=100ms service=s sent=0 backends="" total=34.939697ms refused_by=d2 revision=5
`).Explain("12e4")
	require.NoError(t, err)
	require.Equal(t, "service overloaded", explanation.Cause.Kind)
	require.Equal(t, 34939697*time.Nanosecond, time.Duration(explanation.Lines[0].Total))
	require.Equal(t, uint64(5), explanation.Lines[0].Revision)
}

// TestSummarize guards against wrong groups of failed requests, counts and order included.
func TestSummarize(t *testing.T) {
	var lines []string
	for number, backend := range []string{"b1", "b2", "b1"} {
		lines = append(lines, fmt.Sprintf(`%ds|d1|frontend: failed|"request":"r%d","service":"s","code":3001,"sent":1,"backends":"%s"`, number, number, backend))
	}
	lines = append(lines, `9s|d1|frontend: failed|"request":"r9","service":"s","code":2015`, `9s|d1|frontend: answered|"request":"r10","service":"s","backend":"b1","status":200`)
	groups := readLogs(t, jsonLog(lines...)).Summarize()
	require.Len(t, groups, 2)
	require.Equal(t, 3, groups[0].Requests)
	require.Equal(t, "b1", groups[0].TopSubject)
	require.Equal(t, 2, groups[0].TopCount)
	require.Equal(t, "r0", groups[0].Example.Request)
	require.Equal(t, 2*time.Second, groups[0].Last.Time.Sub(groups[0].First.Time))
	require.Equal(t, "caller left while it waited", groups[1].Kind)
}

// TestBackendSignals guards against wrong statements about what a daemon knew: that the back end was draining,
// since when and from which source, and that it had asked for a pause.
func TestBackendSignals(t *testing.T) {
	const answered = `1.2s|d1|frontend: answered|"request":"r1","code":1000,"service":"s","backend":"b1","status":200`
	draining := func(at, daemon, backend, from, request string) string {
		return fmt.Sprintf(`%s|%s|drains: back end is leaving|"service":"s","backend":%q,"source":"back end","heard_from":%q,"by_request":%q`, at, daemon, backend, from, request)
	}
	for name, test := range map[string]struct {
		lines []string
		known string
	}{
		"no signal":                    {},
		"signal of another back end":   {lines: []string{draining("0.5s", "d1", "b2", "daemon", "")}},
		"known to another daemon only": {lines: []string{draining("0.5s", "d2", "b1", "back end", "r0")}},
		"known from a response":        {lines: []string{draining("0.5s", "d1", "b1", "back end", "r0")}, known: "d1 knew since 12:00:00.500 that b1 was leaving, by the back end, heard from a back end, with the answer to request r0."},
		"known from a peer":            {lines: []string{draining("0.5s", "d1", "b1", "daemon", "")}, known: "d1 knew since 12:00:00.500 that b1 was leaving, by the back end, heard from a daemon."},
		"not known until later":        {lines: []string{draining("1.5s", "d1", "b1", "daemon", "")}, known: "d1 did not know yet that b1 was leaving; it heard so at 12:00:01.500, by the back end, from a daemon."},
		"signal withdrawn":             {lines: []string{draining("0.5s", "d1", "b1", "daemon", ""), `0.7s|d1|drains: back end is back|"service":"s","backend":"b1"`}},
		"during a pause":               {lines: []string{`0.5s|d1|pushback: back end asks for a pause|"service":"s","backend":"b1","lasts":4000000000,"by_request":"r0"`}, known: "d1 had been asked by b1 at 12:00:00.500 for a pause of 4s, with the answer to request r0."},
		"after a pause":                {lines: []string{`0.5s|d1|pushback: back end asks for a pause|"service":"s","backend":"b1","lasts":400000000,"by_request":"r0"`}},
	} {
		t.Run(name, func(t *testing.T) {
			explanation, err := readLogs(t, jsonLog(append(test.lines, "1s|d1|routing: chosen|"+chosen, answered)...)).Explain("r1")
			require.NoError(t, err)
			if test.known == "" {
				require.Empty(t, explanation.BackendSignals)
				return
			}
			require.Equal(t, []string{test.known}, explanation.BackendSignals)
			var printed bytes.Buffer
			require.NoError(t, explanation.Print(&printed))
			require.Contains(t, printed.String(), "Known: "+test.known)
		})
	}
}
