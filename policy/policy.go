// Package policy compiles and evaluates operators' policies.
//
// A policy is a set of short CEL expressions, one for each property of a request
// that the load balancer needs: its class and weight, whether it may be retried,
// how long it may wait, its deadline, whether it is an operation that must not be
// repeated, and the key of that operation. Expressions are type-checked and
// limited in cost when a configuration is accepted, so that a policy in force
// always parses and cannot run for long. If an evaluation fails, the decision is
// the safe one: the request is not retried and gets the default class, and the
// error is returned for counting.
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

// Limits of one expression, and sizes assumed to estimate its cost.
const (
	// MaxExpressionBytes is the maximum length of an expression.
	MaxExpressionBytes = 4096
	// MaxCost is the maximum estimated and actual cost, in CEL cost units.
	MaxCost = 5000
	// estimatedTextBytes is the length assumed for a text input.
	estimatedTextBytes = 512
	// estimatedHeaders is the number of headers assumed.
	estimatedHeaders = 64
)

// DefaultClass is the class of a request whose policy sets none.
const DefaultClass = "default"

// Source holds the expressions of a policy as the operator wrote them. The comment beside each gives
// its type and the value that an empty expression stands for.
type Source struct {
	Class  string `toml:"class" json:"class,omitempty"`   // text; "default"
	Weight string `toml:"weight" json:"weight,omitempty"` // int, 1 to 1000; 1
	Retry  string `toml:"retry" json:"retry,omitempty"`   // bool; false
	Wait   string `toml:"wait" json:"wait,omitempty"`     // duration; the deadline
	// Objective is the latency, from the caller's first attempt, within which a response has its full value.
	Objective string `toml:"objective" json:"objective,omitempty"` // duration; 0, the deadline
	Deadline  string `toml:"deadline" json:"deadline,omitempty"`   // duration; the service's deadline
	Once      string `toml:"once" json:"once,omitempty"`           // bool; false
	Key       string `toml:"key" json:"key,omitempty"`             // text; the Idempotency-Key header
	Session   string `toml:"session" json:"session,omitempty"`     // text; "", no affinity
	// Hedge is the delay after which a slow request gets a second, concurrent attempt.
	Hedge string `toml:"hedge" json:"hedge,omitempty"` // duration; as learned, if there is an objective
}

// Request holds the inputs of a policy.
type Request struct {
	Method string
	Path   string
	Header http.Header
}

// Decision is the result of evaluating a policy for one request.
type Decision struct {
	Class     string
	Weight    int
	Retry     bool
	Wait      time.Duration // 0: until the deadline
	Objective time.Duration // 0: the deadline
	Deadline  time.Duration // 0: the service's deadline
	Once      bool
	Key       string
	Session   string
	// Hedge is the delay before a second attempt; 0: the learned delay if there is an objective, else
	// no second attempt.
	Hedge time.Duration
}

// HeaderIdempotencyKey is the header that carries an operation's key if the policy has no key
// expression.
const HeaderIdempotencyKey = "Idempotency-Key"

// MaxWeight is the maximum weight that a policy may give.
const MaxWeight = 1000

// ExpressionError describes an error in one expression.
type ExpressionError struct {
	Field  string // key in the policy object, such as class
	Line   int    // line in the expression, from 1; 0: unknown
	Column int    // column in the line, from 1
	Reason string
}

// Error returns the field, position and reason.
func (e *ExpressionError) Error() string {
	return fmt.Sprintf("%s: line %d, column %d: %s", e.Field, e.Line, e.Column, e.Reason)
}

// Program is a compiled policy. It is safe for concurrent use.
type Program struct {
	class, weight, retry, wait, deadline, objective, once, key, session, hedge *expression
	needsHeader                                                                bool
}

// expression is one compiled expression; constant is its value if it uses no input.
type expression struct {
	program  cel.Program
	constant ref.Val
}

// environment declares the inputs of expressions. It is created when the first policy is compiled.
var environment = sync.OnceValues(func() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable("method", cel.StringType),
		cel.Variable("path", cel.StringType),
		cel.Variable("header", cel.MapType(cel.StringType, cel.StringType)),
	)
})

// maxCompiled limits the number of cached programs.
const maxCompiled = 500

// programCache caches programs by source, as most policies stay the same when the configuration changes.
var programCache struct {
	mutex    sync.Mutex
	programs map[Source]*Program
}

// Compile compiles and checks all expressions of the source. The error joins an *ExpressionError for
// each invalid one.
func Compile(source Source) (*Program, error) {
	programCache.mutex.Lock()
	defer programCache.mutex.Unlock()
	if program, found := programCache.programs[source]; found {
		return program, nil
	}
	program, err := compile(source)
	if err != nil {
		return nil, err
	}
	if programCache.programs == nil || len(programCache.programs) >= maxCompiled {
		programCache.programs = make(map[Source]*Program)
	}
	programCache.programs[source] = program
	return program, nil
}

func compile(source Source) (*Program, error) {
	env, err := environment()
	if err != nil {
		return nil, errors.Annotate(err, "creating the CEL environment")
	}
	program := &Program{}
	var invalid []error
	for _, field := range []struct {
		name       string
		source     string
		resultType *cel.Type
		target     **expression
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
		if field.source == "" {
			continue
		}
		compiled, usesHeader, err := compileExpression(env, field.name, field.source, field.resultType)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		*field.target = compiled
		program.needsHeader = program.needsHeader || usesHeader
	}
	if len(invalid) > 0 {
		return nil, stderrors.Join(invalid...)
	}
	return program, nil
}

func compileExpression(env *cel.Env, name, source string, resultType *cel.Type) (*expression, bool, error) {
	if len(source) > MaxExpressionBytes {
		return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: fmt.Sprintf("%d bytes, at most %d allowed", len(source), MaxExpressionBytes)}
	}
	ast, issues := env.Compile(source)
	if issues != nil && issues.Err() != nil {
		first := issues.Errors()[0]
		return nil, false, &ExpressionError{Field: name, Line: first.Location.Line(), Column: first.Location.Column() + 1, Reason: first.Message}
	}
	if !ast.OutputType().IsExactType(resultType) {
		return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: fmt.Sprintf("gives %s, must give %s", ast.OutputType(), resultType)}
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
	usesInput, usesHeader := usedInputs(ast)
	if !usesInput {
		value, _, err := program.Eval(map[string]any{})
		if err != nil {
			return nil, false, &ExpressionError{Field: name, Line: 1, Column: 1, Reason: err.Error()}
		}
		compiled.constant = value
	}
	return compiled, usesHeader, nil
}

// usedInputs reports whether an expression uses any input, and whether it uses headers.
func usedInputs(ast *cel.Ast) (usesInput, usesHeader bool) {
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

// inputSizes provides the input sizes for the cost estimate.
type inputSizes struct{}

// EstimateSize implements checker.CostEstimator.
func (inputSizes) EstimateSize(element checker.AstNode) *checker.SizeEstimate {
	if path := element.Path(); len(path) == 1 && path[0] == "header" {
		return &checker.SizeEstimate{Min: 0, Max: estimatedHeaders}
	}
	return &checker.SizeEstimate{Min: 0, Max: estimatedTextBytes}
}

// EstimateCallCost implements checker.CostEstimator. It returns nil to use CEL's own estimates.
func (inputSizes) EstimateCallCost(string, string, *checker.AstNode, []checker.AstNode) *checker.CallEstimate {
	return nil
}

// Evaluate evaluates the policy for a request. It does not block. If an expression fails, the decision
// is the safe one, and the error is that of the first failed expression.
func (p *Program) Evaluate(request Request) (Decision, error) {
	input := &activation{request: request}
	if p.needsHeader {
		input.header = flatten(request.Header)
	}
	decision := Decision{Class: DefaultClass, Weight: 1}
	var firstError error
	recordError := func(err error) {
		if err != nil && firstError == nil {
			firstError = err
		}
	}
	recordError(evaluate(p.class, "class", input, &decision.Class))
	weight := int64(1)
	recordError(evaluate(p.weight, "weight", input, &weight))
	decision.Weight = int(min(max(weight, 1), MaxWeight))
	recordError(evaluate(p.retry, "retry", input, &decision.Retry))
	recordError(evaluate(p.wait, "wait", input, &decision.Wait))
	recordError(evaluate(p.objective, "objective", input, &decision.Objective))
	recordError(evaluate(p.deadline, "deadline", input, &decision.Deadline))
	recordError(evaluate(p.session, "session", input, &decision.Session))
	recordError(evaluate(p.hedge, "hedge", input, &decision.Hedge))
	// If the expression fails, the request is treated as an operation, because not repeating it is
	// safe.
	if err := evaluate(p.once, "once", input, &decision.Once); err != nil {
		recordError(err)
		decision.Once = true
	}
	if decision.Once {
		decision.Key = request.Header.Get(HeaderIdempotencyKey)
		recordError(evaluate(p.key, "key", input, &decision.Key))
	}
	if firstError != nil {
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
	return decision, firstError
}

// evaluate sets target to the expression's value; a nil expression leaves target unchanged.
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
	typed, ok := value.Value().(T)
	if !ok {
		return &ExpressionError{Field: field, Reason: fmt.Sprintf("gave %s", value.Type().TypeName())}
	}
	*target = typed
	return nil
}

// activation provides the inputs of an expression.
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

// flatten returns the first value of each header by lower-case name.
func flatten(header http.Header) map[string]string {
	flat := make(map[string]string, len(header))
	for name, values := range header {
		if len(values) > 0 {
			flat[strings.ToLower(name)] = values[0]
		}
	}
	return flat
}
