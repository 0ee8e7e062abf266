package config

import (
	"bytes"
	stderrors "errors"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/tuliphall/tuliphall/policy"
)

// MaxSourceBytes is the largest TOML text accepted.
const MaxSourceBytes = 1 << 20

// DecodeTOML reads objects from a TOML text. Unknown keys are refused. name
// stands for the text in errors.
func DecodeTOML(name string, text []byte) (Content, error) {
	var content Content
	if err := DecodeStrictTOML(name, text, &content); err != nil {
		return Content{}, err
	}
	return content, nil
}

// DecodeStrictTOML decodes a TOML text into target, refusing unknown keys. Errors
// name the text, the line and the key.
func DecodeStrictTOML(name string, text []byte, target any) error {
	if len(text) > MaxSourceBytes {
		return errors.NotValidf("%s: %d bytes, at most %d allowed", name, len(text), MaxSourceBytes)
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if stderrors.As(err, &missing) {
		first := missing.Errors[0]
		line, column := first.Position()
		return errors.NotValidf("%s:%d:%d: unknown key %q", name, line, column, strings.Join(first.Key(), "."))
	}
	var wrong *toml.DecodeError
	if stderrors.As(err, &wrong) {
		line, column := wrong.Position()
		return errors.NotValidf("%s:%d:%d: key %q: %s", name, line, column, strings.Join(wrong.Key(), "."), wrong.Error())
	}
	return errors.NotValidf("%s: %s", name, err)
}

// AnnotateLine adds the line of the text to each policy expression error in err, so
// that the operator finds the place in the file.
func AnnotateLine(name string, text []byte, err error) error {
	var wrong *ObjectError
	if !stderrors.As(err, &wrong) {
		return errors.Annotate(err, name)
	}
	var expression *policy.ExpressionError
	if !stderrors.As(err, &expression) {
		return errors.Annotate(err, name)
	}
	line := findExpression(text, wrong.Object.Name, expression.Field)
	if line == 0 {
		return errors.Annotate(err, name)
	}
	return errors.Annotate(err, fmt.Sprintf("%s:%d", name, line+expression.Line-1))
}

// findExpression returns the line, from 1, on which a policy's field begins; 0
// when it is not in the text.
func findExpression(text []byte, policyName, field string) int {
	inPolicy := false
	for index, line := range strings.Split(string(text), "\n") {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			inPolicy = false
		}
		key, value, found := strings.Cut(trimmed, "=")
		if !found {
			continue
		}
		key = strings.TrimSpace(key)
		if key == "name" && strings.Trim(strings.TrimSpace(value), `"'`) == policyName {
			inPolicy = true
		}
		if inPolicy && key == field {
			return index + 1
		}
	}
	return 0
}
