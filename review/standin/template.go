package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// fillTemplate fills a template of settings, as DEPLOY.md tells it: {{a.b}}, {{a|json}}, {{#a}}..{{/a}},
// {{^a}}..{{/a}}, {{.}} and {{@}}.
func fillTemplate(text string, fields map[string]any) string {
	return fill(text, []any{fields}, "")
}

var gap = regexp.MustCompile(`\{\{([#^]?)([^{}/]+)\}\}`)

func fill(text string, scopes []any, key string) string {
	var out strings.Builder
	for {
		found := gap.FindStringSubmatchIndex(text)
		if found == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:found[0]])
		sign, name := text[found[2]:found[3]], text[found[4]:found[5]]
		text = text[found[1]:]
		if sign == "" {
			out.WriteString(valueOf(scopes, name, key))
			continue
		}
		end := "{{/" + name + "}}"
		inner, rest, closed := strings.Cut(text, end)
		if !closed {
			panic("template: no " + end)
		}
		text = rest
		value, given := lookUp(scopes, name)
		if sign == "^" {
			if !given {
				out.WriteString(fill(inner, scopes, key))
			}
			continue
		}
		if !given {
			continue
		}
		switch value := value.(type) {
		case map[string]any:
			names := make([]string, 0, len(value))
			for entry := range value {
				names = append(names, entry)
			}
			sort.Strings(names)
			for _, entry := range names {
				out.WriteString(fill(inner, append(scopes[:len(scopes):len(scopes)], value[entry]), entry))
			}
		case []any:
			for index, entry := range value {
				out.WriteString(fill(inner, append(scopes[:len(scopes):len(scopes)], entry), fmt.Sprint(index)))
			}
		default:
			out.WriteString(fill(inner, append(scopes[:len(scopes):len(scopes)], value), key))
		}
	}
}

func valueOf(scopes []any, name, key string) string {
	switch name {
	case "@":
		return key
	case ".":
		return fmt.Sprint(scopes[len(scopes)-1])
	}
	name, asJSON := strings.CutSuffix(name, "|json")
	value, given := lookUp(scopes, name)
	if asJSON {
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(encoded)
	}
	if !given {
		return ""
	}
	return fmt.Sprint(value)
}

// lookUp returns a value by its dotted name, and false if it is missing or false.
func lookUp(scopes []any, name string) (any, bool) {
	for index := len(scopes) - 1; index >= 0; index-- {
		value, found := scopes[index], true
		for _, part := range strings.Split(name, ".") {
			switch table := value.(type) {
			case map[string]any:
				value, found = table[part]
			case []any:
				var position int
				_, err := fmt.Sscan(part, &position)
				found = err == nil && position < len(table)
				if found {
					value = table[position]
				}
			default:
				found = false
			}
			if !found {
				break
			}
		}
		if found {
			return value, value != nil && value != false
		}
	}
	return nil, false
}
