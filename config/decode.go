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

// MaxSourceBytes is the maximum size of a TOML text.
const MaxSourceBytes = 1 << 20

// DecodeTOML decodes objects from a TOML text. Unknown keys are an error. name
// identifies the text in errors.
func DecodeTOML(name string, text []byte) (Content, error) {
	var content Content
	if err := DecodeStrictTOML(name, text, &content); err != nil {
		return Content{}, err
	}
	return content, nil
}

// DecodeStrictTOML decodes a TOML text into target. Unknown keys are an error. Errors
// contain the name of the text, the line and the key.
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
	var unknown *toml.StrictMissingError
	if stderrors.As(err, &unknown) {
		first := unknown.Errors[0]
		line, column := first.Position()
		return errors.NotValidf("%s:%d:%d: unknown key %q", name, line, column, strings.Join(first.Key(), "."))
	}
	var invalid *toml.DecodeError
	if stderrors.As(err, &invalid) {
		line, column := invalid.Position()
		return errors.NotValidf("%s:%d:%d: key %q: %s", name, line, column, strings.Join(invalid.Key(), "."), invalid.Error())
	}
	return errors.NotValidf("%s: %s", name, err)
}

// AnnotateLine adds the name of the text to err and, if err contains a policy expression
// error, the line of the expression.
func AnnotateLine(name string, text []byte, err error) error {
	var invalid *ObjectError
	if !stderrors.As(err, &invalid) {
		return errors.Annotate(err, name)
	}
	var expression *policy.ExpressionError
	if !stderrors.As(err, &expression) {
		return errors.Annotate(err, name)
	}
	line := findExpression(text, invalid.Object.Name, expression.Field)
	if line == 0 {
		return errors.Annotate(err, name)
	}
	return errors.Annotate(err, fmt.Sprintf("%s:%d", name, line+expression.Line-1))
}

// findExpression returns the line, counted from 1, on which a field of a policy
// begins; 0 if it is not in the text.
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
