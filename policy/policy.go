// Package policy compiles and evaluates operators' policies.
//
// A policy is a set of short CEL expressions, one for each thing that the load
// balancer must know about a request: its class and weight, whether it may be
// retried, how long it may wait, its deadline, whether it is an operation that
// must not be repeated, and the key of that operation. Expressions are
// type-checked and bounded in cost when configuration is accepted, so that a
// policy in force cannot fail to parse and cannot run for long. An evaluation
// error fails safe: the request is not retried, keeps the default class, and
// the error is returned for counting.
package policy

import (
	stderrors "errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/checker"
	"github.com/google/cel-go/common/types/ref"
	"github.com/juju/errors"
)

// Bounds on one expression.
const (
	// MaxExpressionBytes is the longest source accepted.
	MaxExpressionBytes = 4096
	// MaxCost is the largest estimated and actual cost, in CEL's cost units.
	MaxCost = 5000
	// estimatedTextBytes is the length assumed of a text input in an estimate.
	estimatedTextBytes = 512
	// estimatedHeaders is the number of headers assumed in an estimate.
	estimatedHeaders = 64
)

// DefaultClass is the class of a request whose policy names none.
const DefaultClass = "default"

// Source holds a policy's expressions as the operator wrote them. An empty
// expression takes the default noted beside it.
type Source struct {
	Class  string `toml:"class" json:"class,omitempty"`   // text; "default"
	Weight string `toml:"weight" json:"weight,omitempty"` // int, 1 to 1000; 1
	Retry  string `toml:"retry" json:"retry,omitempty"`   // bool; false
	Wait   string `toml:"wait" json:"wait,omitempty"`     // duration; the deadline
	// Objective is within which time of the caller's first try an answer is worth most.
	Objective string `toml:"objective" json:"objective,omitempty"` // duration; 0, the deadline
	Deadline  string `toml:"deadline" json:"deadline,omitempty"`   // duration; the service's deadline
	Once      string `toml:"once" json:"once,omitempty"`           // bool; false
	Key       string `toml:"key" json:"key,omitempty"`             // text; the Idempotency-Key header
	Session   string `toml:"session" json:"session,omitempty"`     // text; "", no affinity
	// Hedge is after how long a slow request gets a second attempt beside the first.
	Hedge string `toml:"hedge" json:"hedge,omitempty"` // duration; as learned, if there is an objective
}

// Request is what a policy may look at.
type Request struct {
	Method string
	Path   string
	Header http.Header
}

// Decision is what a policy says of one request.
type Decision struct {
	Class     string
	Weight    int
	Retry     bool
	Wait      time.Duration // 0: as long as the deadline
	Objective time.Duration // 0: the deadline
	Deadline  time.Duration // 0: the service's
	Once      bool
	Key       string
	Session   string
	// Hedge is after how long a second attempt is made; 0: as learned, where there is
	// an objective, else never.
	Hedge time.Duration
}

// HeaderIdempotencyKey is the header that carries an operation's key where the policy
// names no other place.
const HeaderIdempotencyKey = "Idempotency-Key"

// MaxWeight is the largest weight a policy may give.
const MaxWeight = 1000

// ExpressionError says which expression is wrong, and where.
type ExpressionError struct {
	Field  string // the key in the policy object, such as class
	Line   int    // line in the expression, from 1; 0: unknown
	Column int    // column in the line, from 1
	Reason string
}

// Error names the field, the place and the reason.
func (e *ExpressionError) Error() string {
	return fmt.Sprintf("%s: line %d, column %d: %s", e.Field, e.Line, e.Column, e.Reason)
}

// Program is a compiled policy. It is safe for concurrent use.
type Program struct {
	class, weight, retry, wait, deadline, objective, once, key, session, hedge *expression
	needsHeader                                                                bool
}

// expression is one compiled expression; constant holds its value where it
// looks at nothing.
type expression struct {
	program  cel.Program
	constant ref.Val
}

// environment declares the inputs of an expression. It is made once, when the
// first policy is compiled.
var environment = sync.OnceValues(func() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable("method", cel.StringType),
		cel.Variable("path", cel.StringType),
		cel.Variable("header", cel.MapType(cel.StringType, cel.StringType)),
	)
})

// maxCompiled bounds the programs that are kept for the next configuration.
const maxCompiled = 500

// compiled keeps programs by their source: a new configuration mostly holds the
// policies of the one before.
var compiled struct {
	mutex    sync.Mutex
	programs map[Source]*Program
}

// Compile checks every expression of the source. The error lists each wrong
// expression as an *ExpressionError, joined.
func Compile(source Source) (*Program, error) {
	compiled.mutex.Lock()
	defer compiled.mutex.Unlock()
	if program, known := compiled.programs[source]; known {
		return program, nil
	}
	program, err := compile(source)
	if err != nil {
		return nil, err
	}
	if compiled.programs == nil || len(compiled.programs) >= maxCompiled {
		compiled.programs = make(map[Source]*Program)
	}
	compiled.programs[source] = program
	return program, nil
}

func compile(source Source) (*Program, error) {
	env, err := environment()
	if err != nil {
		return nil, errors.Annotate(err, "policy environment")
	}
	program := &Program{}
	var wrong []error
	for _, field := range []struct {
		name   string
		text   string
		kind   *cel.Type
		target **expression
	}{
		{"class", source.Class, cel.StringType, &program.class},
		{"weight", source.Weight, cel.IntType, &program.weight},
		{"retry", source.Retry, cel.BoolType, &program.retry},
		{"wait", source.Wait, cel.DurationType, &program.wait},
		{"objective", source.Objective, cel.DurationType, &program.objective},
		{"deadline", source.Deadline, cel.DurationType, &program.deadline},
		{"once", source.Once, cel.BoolType, &program.once},
		{"key", source.Key, cel.StringType, &program.key},
		{"session", source.Session, cel.StringType, &program.session},
		{"hedge", source.Hedge, cel.DurationType, &program.hedge},
	} {
		if field.text == "" {
			continue
		}
		compiled, usesHeader, err := compileOne(env, field.name, field.text, field.kind)
		if err != nil {
			wrong = append(wrong, err)
			continue
		}
		*field.target = compiled
		program.needsHeader = program.needsHeader || usesHeader
	}
	if len(wrong) > 0 {
		return nil, stderrors.Join(wrong...)
	}
	return program, nil
}

func compileOne(env *cel.Env, name, text string, kind *cel.Type) (*expression, bool, error) {
	if len(text) > MaxExpressionBytes {
		return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: fmt.Sprintf("%d bytes, at most %d allowed", len(text), MaxExpressionBytes)}
	}
	ast, issues := env.Compile(text)
	if issues != nil && issues.Err() != nil {
		first := issues.Errors()[0]
		return nil, false, &ExpressionError{Field: name, Line: first.Location.Line(), Column: first.Location.Column() + 1, Reason: first.Message}
	}
	if !ast.OutputType().IsExactType(kind) {
		return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: fmt.Sprintf("gives %s, must give %s", ast.OutputType(), kind)}
	}
	estimate, err := env.EstimateCost(ast, inputSizes{})
	if err != nil {
		return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: "cost cannot be estimated: " + err.Error()}
	}
	if estimate.Max > MaxCost {
		return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: fmt.Sprintf("may cost %d units, at most %d allowed", estimate.Max, MaxCost)}
	}
	program, err := env.Program(ast, cel.CostLimit(MaxCost), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: err.Error()}
	}
	compiled := &expression{program: program}
	usesInput, usesHeader := inputsOf(ast)
	if !usesInput {
		value, _, err := program.Eval(map[string]any{})
		if err != nil {
			return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: err.Error()}
		}
		compiled.constant = value
	}
	return compiled, usesHeader, nil
}

// inputsOf says whether an expression looks at any input, and at headers.
func inputsOf(ast *cel.Ast) (usesInput, usesHeader bool) {
	for _, reference := range ast.NativeRep().ReferenceMap() {
		switch reference.Name {
		case "method", "path":
			usesInput = true
		case "header":
			usesInput, usesHeader = true, true
		}
	}
	return usesInput, usesHeader
}

// inputSizes tells the cost estimate how large the inputs may be.
type inputSizes struct{}

// EstimateSize implements checker.CostEstimator.
func (inputSizes) EstimateSize(element checker.AstNode) *checker.SizeEstimate {
	if path := element.Path(); len(path) == 1 && path[0] == "header" {
		return &checker.SizeEstimate{Min: 0, Max: estimatedHeaders}
	}
	return &checker.SizeEstimate{Min: 0, Max: estimatedTextBytes}
}

// EstimateCallCost implements checker.CostEstimator; CEL's own estimates stand.
func (inputSizes) EstimateCallCost(string, string, *checker.AstNode, []checker.AstNode) *checker.CallEstimate {
	return nil
}

// Evaluate asks the policy about a request. It does not block. When an
// expression fails, the decision is the safe one and the error says why.
func (p *Program) Evaluate(request Request) (Decision, error) {
	input := &activation{request: request}
	if p.needsHeader {
		input.header = flatten(request.Header)
	}
	decision := Decision{Class: DefaultClass, Weight: 1}
	var failed error
	note := func(err error) {
		if err != nil && failed == nil {
			failed = err
		}
	}
	note(evaluate(p.class, "class", input, &decision.Class))
	weight := int64(1)
	note(evaluate(p.weight, "weight", input, &weight))
	decision.Weight = int(min(max(weight, 1), MaxWeight))
	note(evaluate(p.retry, "retry", input, &decision.Retry))
	note(evaluate(p.wait, "wait", input, &decision.Wait))
	note(evaluate(p.objective, "objective", input, &decision.Objective))
	note(evaluate(p.deadline, "deadline", input, &decision.Deadline))
	note(evaluate(p.session, "session", input, &decision.Session))
	note(evaluate(p.hedge, "hedge", input, &decision.Hedge))
	// An operation whose expression fails is treated as one: not repeating
	// is the safe side.
	if err := evaluate(p.once, "once", input, &decision.Once); err != nil {
		note(err)
		decision.Once = true
	}
	if decision.Once {
		decision.Key = request.Header.Get(HeaderIdempotencyKey)
		note(evaluate(p.key, "key", input, &decision.Key))
	}
	if failed != nil {
		decision = Decision{Class: DefaultClass, Weight: 1, Once: decision.Once, Key: decision.Key}
	}
	if decision.Once {
		decision.Retry = false
	}
	if !decision.Retry {
		decision.Hedge = 0
	}
	decision.Hedge = max(decision.Hedge, 0)
	decision.Wait = max(decision.Wait, 0)
	decision.Objective = max(decision.Objective, 0)
	decision.Deadline = max(decision.Deadline, 0)
	return decision, failed
}

// evaluate writes the expression's value to target; a nil expression leaves it.
func evaluate[T any](e *expression, field string, input *activation, target *T) error {
	if e == nil {
		return nil
	}
	value := e.constant
	if value == nil {
		result, _, err := e.program.Eval(input)
		if err != nil {
			return &ExpressionError{Field: field, Reason: err.Error()}
		}
		value = result
	}
	native, ok := value.Value().(T)
	if !ok {
		return &ExpressionError{Field: field, Reason: fmt.Sprintf("gave %s", value.Type().TypeName())}
	}
	*target = native
	return nil
}

// activation gives an expression its inputs.
type activation struct {
	request Request
	header  map[string]string
}

// ResolveName implements cel.Activation.
func (a *activation) ResolveName(name string) (any, bool) {
	switch name {
	case "method":
		return a.request.Method, true
	case "path":
		return a.request.Path, true
	case "header":
		return a.header, true
	}
	return nil, false
}

// Parent implements cel.Activation.
func (a *activation) Parent() cel.Activation {
	return nil
}

// flatten keeps the first value of each header under its lower-case name.
func flatten(header http.Header) map[string]string {
	flat := make(map[string]string, len(header))
	for name, values := range header {
		if len(values) > 0 {
			flat[strings.ToLower(name)] = values[0]
		}
	}
	return flat
}
