package lang

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxLineBytes is the longest line that is read, in bytes. A pool of 600 servers
// fits several times.
const MaxLineBytes = 64 << 10

// MaxNameLength is the longest name, in bytes.
const MaxNameLength = 63

var words = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Time", Pattern: `\d+:\d*`},
	{Name: "Path", Pattern: `/[A-Za-z0-9/_.-]*`},
	{Name: "Word", Pattern: `[A-Za-z0-9][A-Za-z0-9_.-]*`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Line](
	participle.Lexer(words),
	participle.Elide("Space"),
	participle.UseLookahead(1),
)

// Error is a fault in a line.
type Error struct {
	// Column is where the fault is, in characters from 1; zero when it is in
	// no single place.
	Column int
	// Message says what is wrong and what was expected.
	Message string
}

// Error returns the message.
func (e *Error) Error() string {
	return e.Message
}

// Parse reads one line. The error is an *Error.
func Parse(text string) (*Line, error) {
	if len(text) > MaxLineBytes {
		return nil, &Error{Column: 1, Message: fmt.Sprintf("the line is longer than %d bytes", MaxLineBytes)}
	}
	if strings.TrimSpace(text) == "" {
		return nil, &Error{Column: 1, Message: "the line is empty"}
	}
	line, err := parser.ParseString("", text)
	if err == nil {
		return line, nil
	}
	return nil, explain(text, err)
}

// verbs are the words that a line can begin with.
const verbs = "create, change, delete, route, add, remove, stop, resume or show"

// firstColumn is the column of the first word.
func firstColumn(text string) int {
	return len(text) - len(strings.TrimLeft(text, " \t")) + 1
}

// explain turns an error of the parser into one that an operator can read.
func explain(text string, err error) *Error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		column := unexpected.Unexpected.Pos.Column
		_, expected, _ := strings.Cut(unexpected.Message(), "(expected ")
		expected = readable(strings.TrimSuffix(expected, ")"))
		found := fmt.Sprintf("%q", unexpected.Unexpected.Value)
		if unexpected.Unexpected.EOF() {
			column = utf8.RuneCountInString(strings.TrimRight(text, " \t\r\n")) + 1
			found = "the end of the line"
		}
		if expected == "" && column == firstColumn(text) {
			expected = verbs
		}
		if expected == "" {
			expected = "the end of the line"
		}
		return &Error{Column: column, Message: fmt.Sprintf("unexpected %s, want %s", found, expected)}
	}
	var unreadable *lexer.Error
	if errors.As(err, &unreadable) {
		return &Error{
			Column:  unreadable.Pos.Column,
			Message: "unreadable here, want letters, digits and . _ - only, a /PATH or HH:MM",
		}
	}
	var at participle.Error
	if errors.As(err, &at) {
		return &Error{Column: max(at.Position().Column, 1), Message: at.Message()}
	}
	return &Error{Column: 1, Message: err.Error()}
}

// terms replaces what the parser calls the parts of a line.
var terms = map[string]string{
	"Create": "service, pool or rule", "Change": "service, pool or rule", "Delete": "service, pool or rule",
	"Add": "server", "Remove": "server", "Stop": "server", "Resume": "server", "Rule": "service",
	"Show":   "services, pools, rules, stops, servers, entries, lines, command ID or timeline",
	"Target": "service", "Word": "NAME", "Word+": "NAME ...", "<word>": "NAME",
	"PathWord": "/PATH", "<path>": "/PATH", "Hour": "HH:MM", "<time>": "HH:MM",
	"Options": "", "~anyway": "", "!anyway": "",
}

// readable turns the parser's notation for what it expected into words.
func readable(expected string) string {
	expected = strings.NewReplacer(`"`, "", "(", "", ")", "", "?", "", "|", "or").Replace(expected)
	var out []string
	for _, word := range strings.Fields(expected) {
		if term, known := terms[word]; known {
			word = term
		}
		if word != "" {
			out = append(out, word)
		}
	}
	return strings.Join(out, " ")
}
