// Package parser reads the operators' query and command language. Keywords are
// not case-sensitive; names are.
package parser

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// This file is read first: it holds the grammar, one type a statement. A new
// statement is a type and a line in Statement. Examples:
//
//	SHOW Tasks COLUMNS ID, Caller, Target WHERE State = Assigned AND Class = Urgent SINCE 5m
//	CREATE CALLER till-budapest SET Region = kozep-magyar, Quota.CPU = 64000
//	RETIRE CALLER till-budapest BASE 17 ID "ticket-4711"

// Statement is one query or command. Base and ID belong to commands that
// change the cell.
type Statement struct {
	Command Command `parser:"@@"`
	Base    *uint64 `parser:"( 'BASE' @Number"`
	ID      *string `parser:"| 'ID' @(String | Ident | Number) )* ';'?"`
}

// Command is the body of a statement. Exactly one of its fields is set.
type Command struct {
	Show    *Show    `parser:"@@"`
	Create  *Create  `parser:"| @@"`
	Change  *Alter   `parser:"| @@"`
	Set     *Set     `parser:"| @@"`
	Cancel  *Cancel  `parser:"| @@"`
	Drain   *Drain   `parser:"| @@"`
	Retire  *Retire  `parser:"| @@"`
	Prove   *Prove   `parser:"| @@"`
	Explain *Explain `parser:"| @@"`
	Voter   *Voter   `parser:"| @@"`
}

// Show is a query.
type Show struct {
	Thing   string   `parser:"'SHOW' @Ident"`
	Columns []string `parser:"( 'COLUMNS' @Ident ( ',' @Ident )* )?"`
	Where   *Or      `parser:"( 'WHERE' @@ )?"`
	Since   string   `parser:"( 'SINCE' @Number )?"`
	GroupBy []string `parser:"( 'GROUP' 'BY' @Ident ( ',' @Ident )* )?"`
	OrderBy []Order  `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
	Limit   int      `parser:"( 'LIMIT' @Number )?"`
	Stale   bool     `parser:"@'STALE'?"`
}

// Order is a column to sort by.
type Order struct {
	Column     string `parser:"@Ident"`
	Descending bool   `parser:"( @'DESC' | 'ASC' )?"`
}

// Or holds alternatives.
type Or struct {
	Terms []And `parser:"@@ ( 'OR' @@ )*"`
}

// And holds conditions that must all hold.
type And struct {
	Terms []Condition `parser:"@@ ( 'AND' @@ )*"`
}

// Condition compares a column, or holds a nested expression.
type Condition struct {
	Nested *Or      `parser:"'(' @@ ')'"`
	Column string   `parser:"| @Ident"`
	Op     string   `parser:"( @Operator"`
	Value  *Value   `parser:"@@"`
	In     []*Value `parser:"| 'IN' '(' @@ ( ',' @@ )* ')' )"`
}

// Value is a literal.
type Value struct {
	Text string `parser:"@(String | Number | Ident)"`
}

// Create adds a caller or a job.
type Create struct {
	Kind   string       `parser:"'CREATE' @( 'CALLER' | 'SERVICE' | 'BATCH' | 'ALLATONCE' )"`
	Name   string       `parser:"@(Ident | String)"`
	Caller string       `parser:"( 'FOR' @(Ident | String) )?"`
	Set    []Assignment `parser:"( 'SET' @@ ( ',' @@ )* )?"`
}

// Alter changes a caller or a job.
type Alter struct {
	Kind   string       `parser:"'CHANGE' @( 'CALLER' | 'SERVICE' | 'BATCH' | 'ALLATONCE' )"`
	Name   string       `parser:"@(Ident | String)"`
	Caller string       `parser:"( 'FOR' @(Ident | String) )?"`
	Set    []Assignment `parser:"'SET' @@ ( ',' @@ )*"`
}

// Assignment gives a field a value.
type Assignment struct {
	Field string `parser:"@Ident '='"`
	Value *Value `parser:"@@"`
}

// Set gives a policy a value.
type Set struct {
	Name  string `parser:"'SET' 'POLICY' @Ident '='"`
	Value *Value `parser:"@@"`
}

// Cancel withdraws a task or a job.
type Cancel struct {
	Task   uint64 `parser:"'CANCEL' ( 'TASK' @Number"`
	Job    string `parser:"| 'JOB' @(Ident | String)"`
	Caller string `parser:"'FOR' @(Ident | String) )"`
}

// Drain keeps new work off a target, or lets it take work again.
type Drain struct {
	Verb   string `parser:"@( 'DRAIN' | 'UNDRAIN' ) 'TARGET'"`
	Target string `parser:"@(Ident | String)"`
}

// Retire ends the relationship with a caller or a target.
type Retire struct {
	Kind string `parser:"'RETIRE' @( 'CALLER' | 'TARGET' )"`
	Name string `parser:"@(Ident | String)"`
}

// Prove shows the proof of a retirement and checks it again.
type Prove struct {
	Kind string `parser:"'PROVE' @( 'CALLER' | 'TARGET' )"`
	Name string `parser:"@(Ident | String) 'RETIRED'"`
}

// Explain tells why a task runs where it does, or why it waits.
type Explain struct {
	Task uint64 `parser:"'EXPLAIN' 'TASK' @Number"`
}

// Voter adds or removes a voter of the replicated log.
type Voter struct {
	Verb    string `parser:"@( 'ADD' | 'REMOVE' ) 'VOTER'"`
	Replica string `parser:"@(Ident | String)"`
}

var rules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Number", Pattern: `[0-9][0-9A-Za-z.]*`},
	{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_.\-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Punct", Pattern: `[(),;*]`},
	{Name: "Space", Pattern: `\s+`},
})

var grammar = participle.MustBuild[Statement](
	participle.Lexer(rules),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(2),
)

// MaxLength bounds the length of a statement, in bytes.
const MaxLength = 64 << 10

// SyntaxError tells where a statement is wrong.
type SyntaxError struct {
	Column int
	Text   string
}

// Error describes the error and its place.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("column %d: %s", e.Column, e.Text)
}

// Parse reads one statement.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxLength {
		return nil, &SyntaxError{MaxLength, fmt.Sprintf("the statement is longer than %d bytes", MaxLength)}
	}
	st, err := grammar.ParseString("", strings.TrimSpace(text))
	if err == nil {
		return st, nil
	}
	if pe, ok := err.(participle.Error); ok {
		return nil, &SyntaxError{pe.Position().Column, expected(pe.Message())}
	}
	return nil, &SyntaxError{1, err.Error()}
}

// expected names the statements when the first word is not one.
func expected(message string) string {
	if strings.Contains(message, "expected <") || strings.Contains(message, "(expected") {
		return message
	}
	return message + "; expected one of SHOW, CREATE, CHANGE, SET, CANCEL, DRAIN, UNDRAIN, RETIRE, PROVE, EXPLAIN, ADD, REMOVE"
}

// Grammar returns the grammar in EBNF.
func Grammar() string { return grammar.String() }
