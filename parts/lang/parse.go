package lang

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxLineBytes is the maximum length of a line in bytes: several times that of
// a line with a pool of 600 servers.
const MaxLineBytes = 64 << 10

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

var lineLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Time", Pattern: `\d+:\d*`},
	{Name: "Path", Pattern: `/[A-Za-z0-9/_.-]*`},
	{Name: "Word", Pattern: `[A-Za-z0-9][A-Za-z0-9_.-]*`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Line](
	participle.Lexer(lineLexer),
	participle.Elide("Space"),
	participle.UseLookahead(1),
)

// Error is an error in a line.
type Error struct {
	// Column is the position of the error, in characters from 1; zero if the
	// error has no single position.
	Column int
	// Message describes the error and what was expected.
	Message string
}

// Error returns the message.
func (e *Error) Error() string {
	return e.Message
}

// Parse parses one line. A non-nil error is an *Error.
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
	return nil, parseError(text, err)
}

// commandNames lists the words that a line can begin with.
const commandNames = "create, change, delete, route, add, remove, stop, resume or show"

// firstColumn is the column of the first word.
func firstColumn(text string) int {
	return len(text) - len(strings.TrimLeft(text, " \t")) + 1
}

// parseError converts an error of the parser into one that operators can
// understand.
func parseError(text string, err error) *Error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		column := unexpected.Unexpected.Pos.Column
		_, expected, _ := strings.Cut(unexpected.Message(), "(expected ")
		expected = describeExpected(strings.TrimSuffix(expected, ")"))
		found := fmt.Sprintf("%q", unexpected.Unexpected.Value)
		if unexpected.Unexpected.EOF() {
			column = utf8.RuneCountInString(strings.TrimRight(text, " \t\r\n")) + 1
			found = "the end of the line"
		}
		if expected == "" && column == firstColumn(text) {
			expected = commandNames
		}
		if expected == "" {
			expected = "the end of the line"
		}
		return &Error{Column: column, Message: fmt.Sprintf("unexpected %s, want %s", found, expected)}
	}
	var lexerErr *lexer.Error
	if errors.As(err, &lexerErr) {
		return &Error{
			Column:  lexerErr.Pos.Column,
			Message: "unreadable here, want letters, digits and . _ - only, a /PATH or HH:MM",
		}
	}
	var parserErr participle.Error
	if errors.As(err, &parserErr) {
		return &Error{Column: max(parserErr.Position().Column, 1), Message: parserErr.Message()}
	}
	return &Error{Column: 1, Message: err.Error()}
}

// tokenNames maps the names that the parser uses for the elements of a line to
// those for operators.
var tokenNames = map[string]string{
	"Create": "service, pool or rule", "Change": "service, pool or rule", "Delete": "service, pool or rule",
	"Add": "server", "Remove": "server", "Stop": "server", "Resume": "server", "Rule": "service",
	"Show":   "services, pools, rules, stops, servers, entries, lines, command ID or timeline",
	"Target": "service", "Word": "NAME", "Word+": "NAME ...", "<word>": "NAME",
	"PathWord": "/PATH", "<path>": "/PATH", "Hour": "HH:MM", "<time>": "HH:MM",
	"Options": "", "~anyway": "", "!anyway": "",
}

// describeExpected converts the notation of the parser for the expected
// elements into words.
func describeExpected(expected string) string {
	expected = strings.NewReplacer(`"`, "", "(", "", ")", "", "?", "", "|", "or").Replace(expected)
	var names []string
	for _, word := range strings.Fields(expected) {
		if name, exists := tokenNames[word]; exists {
			word = name
		}
		if word != "" {
			names = append(names, word)
		}
	}
	return strings.Join(names, " ")
}
