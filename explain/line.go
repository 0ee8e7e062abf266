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

// Line is one line of a daemon's log, with the fields that explanations need. Fields
// that a line does not have are empty.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Daemon  string    `json:"daemon"`

	Request string `json:"request"`
	Service string `json:"service"`

	// Of a choice.
	Kind       string   `json:"attempt_kind"`
	Backend    string   `json:"backend"`
	Dispatcher string   `json:"dispatcher"`
	Reason     string   `json:"reason"`
	Candidates int      `json:"candidates"`
	ReportAge  Duration `json:"report_age"`
	Waited     Duration `json:"waited"`
	Remaining  Duration `json:"remaining"`

	// Of how an attempt or a request ended.
	Code       int      `json:"code"`
	Name       string   `json:"name"`
	Run        string   `json:"run"`
	Cause      string   `json:"cause"`
	Retry      string   `json:"retry"`
	RetryAfter Duration `json:"retry_after"`
	RefusedBy  string   `json:"refused_by"`
	Sent       int      `json:"sent"`
	Backends   Text     `json:"backends"` // ids, separated by spaces; elsewhere a number
	Total      Duration `json:"total"`
	Tenant     string   `json:"tenant"`
	Side       string   `json:"side"`
	Status     int      `json:"status"`
	Latency    Duration `json:"backend_latency"`
	Slowdown   float64  `json:"backend_slowdown"`
	InFlight   int      `json:"backend_in_flight"`
	Class      string   `json:"class"`
	Hedge      string   `json:"hedge"`

	// Of what a daemon believes.
	Revision uint64 `json:"revision"`
	Previous Text   `json:"before"`
	Source   Text   `json:"source"`
	Error    string `json:"error"`
	// Of a configuration that was not put in force, and of the store's era.
	OfferedRevision uint64 `json:"offered_revision"`
	OfferedStored   string `json:"offered_stored"`
	Era             uint64 `json:"era"`
	// Of what a back end says of itself: who told the daemon, the request whose answer said it, and how long a pause lasts.
	HeardFrom string   `json:"heard_from"`
	ByRequest string   `json:"by_request"`
	Lasts     Duration `json:"lasts"`

	// Text is the line as it was written.
	Text string `json:"-"`
	// number is the place of the line in the input.
	number int
}

// Duration is a time that is written as nanoseconds, or with a unit.
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

// String returns the time rounded for reading.
func (d Duration) String() string {
	return time.Duration(d).Round(100 * time.Microsecond).String()
}

// Text is a field that is a text in some lines and a number in others.
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

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// textStart is how a line in text form begins.
const textStart = "time="

// Read takes in the lines of a log, in JSON or in text. What stands before a line, as
// collectors of logs write it, is passed over, and so are lines that are none of a
// daemon's.
func Read(from io.Reader, into *Log) error {
	return read(from, func(line Line, _ []byte) { into.add(line) })
}

// ReadTimed is Read of a log whose collector wrote before each line at which second it came. It returns
// when those seconds began, by the daemons' clocks; the zero time where none is written. A line comes
// some time after it was written, so that the latest beginning that any line tells is nearest.
func ReadTimed(from io.Reader, into *Log) (began time.Time, err error) {
	err = read(from, func(line Line, text []byte) {
		into.add(line)
		words := strings.Fields(string(text[:min(len(text), maxSecondBytes)]))
		if len(words) == 0 {
			return
		}
		second, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			return // no second stands there
		}
		if told := line.Time.Add(-time.Duration(second * float64(time.Second))); told.After(began) {
			began = told
		}
	})
	return began, err
}

// maxSecondBytes is how much of a line may hold the second at which it came.
const maxSecondBytes = 24

func read(from io.Reader, take func(line Line, text []byte)) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			take(line, scanner.Bytes())
		}
	}
	return errors.Annotate(scanner.Err(), "log")
}

func parse(text []byte) (Line, bool) {
	brace, word := bytes.IndexByte(text, '{'), bytes.Index(text, []byte(textStart))
	if word >= 0 && (brace < 0 || word < brace) {
		return parseText(text[word:])
	}
	if brace < 0 {
		return Line{}, false
	}
	return decode(text[brace:], string(text[brace:]))
}

// numeric are the fields that are numbers also in text form.
var numeric = map[string]bool{
	"candidates": true, "code": true, "sent": true, "status": true, "backend_slowdown": true, "backend_in_flight": true, "revision": true,
}

// parseText reads a line in text form by way of JSON.
func parseText(text []byte) (Line, bool) {
	fields := make(map[string]any)
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			if numeric[key] {
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
