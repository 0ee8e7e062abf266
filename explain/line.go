package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// Line is a log line of a daemon, with the fields that explanations need. Fields that are not
// in the line are zero.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Daemon  string    `json:"daemon"`

	Request string `json:"request"`
	Service string `json:"service"`

	// Routing decisions.
	Kind       string   `json:"attempt_kind"`
	Backend    string   `json:"backend"`
	Dispatcher string   `json:"dispatcher"`
	Reason     string   `json:"reason"`
	Candidates int      `json:"candidates"`
	ReportAge  Duration `json:"report_age"`
	Waited     Duration `json:"waited"`
	Remaining  Duration `json:"remaining"`

	// Outcomes of attempts and requests.
	Code       int      `json:"code"`
	Name       string   `json:"name"`
	Run        string   `json:"run"`
	Cause      string   `json:"cause"`
	Retry      string   `json:"retry"`
	RetryAfter Duration `json:"retry_after"`
	RefusedBy  string   `json:"refused_by"`
	Sent       int      `json:"sent"`
	Backends   Text     `json:"backends"` // ids, separated by spaces; a number in other messages
	Total      Duration `json:"total"`
	Tenant     string   `json:"tenant"`
	Side       string   `json:"side"`
	Status     int      `json:"status"`
	Latency    Duration `json:"backend_latency"`
	Slowdown   float64  `json:"backend_slowdown"`
	InFlight   int      `json:"backend_in_flight"`
	Class      string   `json:"class"`
	Hedge      string   `json:"hedge"`
	// MaxInFlight is the number of requests in flight to which a back end is held that does not answer when full.
	MaxInFlight int `json:"in_flight"`
	// The daemon through which the request was sent, and how long the own daemon had reached no back end.
	Via    string   `json:"via"`
	CutOff Duration `json:"cut_off"`

	// What became of a body after the response.
	BodyBytes     int64    `json:"body_bytes"`
	BodyWhole     bool     `json:"body_whole"`
	AfterResponse Duration `json:"after_response"`

	// Changes of a daemon's state.
	Revision uint64 `json:"revision"`
	Previous Text   `json:"before"`
	Source   Text   `json:"source"`
	Error    string `json:"error"`
	// Configurations that were rejected as older, and the era of the store.
	OfferedRevision uint64 `json:"offered_revision"`
	OfferedStored   string `json:"offered_stored"`
	Era             uint64 `json:"era"`
	// Signals of back ends: where the daemon got it from, the request whose response had it, and the length of a pause.
	HeardFrom string   `json:"heard_from"`
	ByRequest string   `json:"by_request"`
	Lasts     Duration `json:"lasts"`

	// Text is the unparsed line.
	Text string `json:"-"`
	// number is the position of the line in the input.
	number int
}

// Duration is a duration that is logged in nanoseconds or with a unit.
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	text := strings.Trim(string(data), `"`)
	if nanoseconds, err := strconv.ParseInt(text, 10, 64); err == nil {
		*d = Duration(nanoseconds)
		return nil
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return errors.Trace(err)
}

// String returns the duration rounded to 100 µs.
func (d Duration) String() string {
	return time.Duration(d).Round(100 * time.Microsecond).String()
}

// Text is a field that is a string in some messages and a number in others.
type Text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) != nil {
		text = string(data)
	}
	*t = Text(text)
	return nil
}

// maxLineBytes is the maximum length of a line. Read fails for a longer one.
const maxLineBytes = 1 << 20

// textPrefix begins a line in text format.
const textPrefix = "time="

// Read adds the lines of a log, in JSON or text format, to log. It skips lines that are not a
// daemon's, and prefixes that log collectors add to lines.
func Read(from io.Reader, log *Log) error {
	return read(from, func(line Line, _ []byte) { log.add(line) })
}

// ReadTimed is Read for a log whose collector prefixes each line with the second at which it arrived, counted from
// a start. It returns that start by the daemons' clocks, or the zero time if no line has the prefix. Lines arrive
// some time after they are written, so that the latest start derived from any line is the best estimate.
func ReadTimed(from io.Reader, log *Log) (began time.Time, err error) {
	err = read(from, func(line Line, text []byte) {
		log.add(line)
		fields := strings.Fields(string(text[:min(len(text), maxOffsetBytes)]))
		if len(fields) == 0 {
			return
		}
		offset, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			return // the line has no such prefix
		}
		if estimate := line.Time.Add(-time.Duration(offset * float64(time.Second))); estimate.After(began) {
			began = estimate
		}
	})
	return began, err
}

// maxOffsetBytes is the length of the beginning of a line that is searched for the second.
const maxOffsetBytes = 24

func read(from io.Reader, handle func(line Line, text []byte)) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			handle(line, scanner.Bytes())
		}
	}
	return errors.Annotate(scanner.Err(), "log")
}

func parseLine(text []byte) (Line, bool) {
	brace, prefix := bytes.IndexByte(text, '{'), bytes.Index(text, []byte(textPrefix))
	if prefix >= 0 && (brace < 0 || prefix < brace) {
		return parseText(text[prefix:])
	}
	if brace < 0 {
		return Line{}, false
	}
	return decode(text[brace:], string(text[brace:]))
}

// numericFields are the fields that must be numbers in JSON. The text format does not distinguish them.
var numericFields = map[string]bool{
	"candidates": true, "code": true, "sent": true, "status": true, "backend_slowdown": true, "backend_in_flight": true, "revision": true,
}

// parseText parses a line in text format by converting it to JSON.
func parseText(text []byte) (Line, bool) {
	fields := make(map[string]any)
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			if numericFields[key] {
				fields[key] = json.RawMessage(value)
			} else {
				fields[key] = value
			}
		}
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return Line{}, false
	}
	return decode(data, string(text))
}

func decode(data []byte, text string) (Line, bool) {
	line := Line{Text: text}
	if err := json.Unmarshal(data, &line); err != nil {
		return Line{}, false
	}
	return line, line.Message != "" && line.Daemon != ""
}
