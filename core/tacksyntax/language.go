// Package tacksyntax is the common base of the command and the query language:
// words, quoted text, numbers, and syntax errors with a position and a list of
// what is allowed there.
package tacksyntax

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxText is the maximum length of a text in bytes. To explain an error, the
// text is parsed once for every keyword, so a very long text would keep a peer
// busy.
const MaxText = 16 << 10

const (
	// endOfText is expected where nothing more may follow.
	endOfText = "the end of the text"
	// closingQuote is expected after an unmatched opening quote.
	closingQuote = "a closing quote"
	// space holds the characters that separate words, as \s in the lexer's
	// patterns.
	space = " \t\n\f\r"
	// anyWord is a word that is not a keyword of any grammar.
	anyWord = "any-word"
)

type (
	// Language is a parser for the grammar G, a struct with participle's tags.
	Language[G any] struct {
		parser   *participle.Parser[G]
		keywords []string
	}

	// probe is a token that is tried at the position of an error.
	probe struct {
		text string
		name string
	}
)

var (
	keywordPattern = regexp.MustCompile(`"([a-z_=]+)"`)

	// valueProbes are the probes for values, the most general first.
	valueProbes = []probe{
		{text: `"x"`, name: "a name"},
		{text: `1`, name: "a number"},
		{text: `1%`, name: "a percentage"},
	}
)

// New returns the language of the grammar G. Words are separated by white
// space and by the separators, each of which is a word of its own. It panics
// if the grammar is not valid.
func New[G any](separators string) *Language[G] {
	class := regexp.QuoteMeta(separators)
	rules := []lexer.SimpleRule{
		{Name: "Space", Pattern: `\s+`},
		{Name: "Quoted", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Word", Pattern: `[^\s"` + class + `]+`},
	}
	if separators != "" {
		rules = append(rules, lexer.SimpleRule{Name: "Separator", Pattern: `[` + class + `]`})
	}
	parser := participle.MustBuild[G](
		participle.Lexer(lexer.MustSimple(rules)),
		participle.Elide("Space"),
		participle.CaseInsensitive("Word"),
		participle.UseLookahead(2),
	)
	return &Language[G]{parser: parser, keywords: keywordsOf(parser.String())}
}

// keywordsOf returns the keywords of a grammar in EBNF.
func keywordsOf(ebnf string) []string {
	var keywords []string
	for _, match := range keywordPattern.FindAllStringSubmatch(ebnf, -1) {
		keywords = append(keywords, match[1])
	}
	slices.Sort(keywords)
	return slices.Compact(keywords)
}

// Parse parses a text. The error is an *Error.
func (l *Language[G]) Parse(text string) (*G, error) {
	if len(text) > MaxText {
		return nil, &Error{Line: 1, Column: 1, Expected: []string{fmt.Sprintf("at most %d bytes", MaxText)}, Got: "more"}
	}
	g, err := l.parser.ParseString("", text)
	if err == nil {
		return g, nil
	}
	return nil, l.explain(text, err)
}

// explain turns an error of the parser into one that lists what is allowed at
// its position.
func (l *Language[G]) explain(text string, err error) *Error {
	var positioned participle.Error
	if !errors.As(err, &positioned) {
		return &Error{Line: 1, Column: 1, Expected: []string{endOfText}}
	}
	pos := skipSpace(text, positioned.Position())
	e := &Error{Line: pos.Line, Column: pos.Column, Got: firstWord(text[pos.Offset:])}
	var broken *lexer.Error
	if errors.As(err, &broken) {
		e.Expected = []string{closingQuote}
		return e
	}
	prefix := text[:pos.Offset]
	e.Expected = l.expected(prefix)
	if len(e.Expected) == 0 {
		return l.explainEarlier(prefix, e)
	}
	return e
}

// explainEarlier explains an error for which nothing may follow the prefix.
// The prefix itself may have an invalid value, since the parser captures
// values only after it has matched all words; then that error is explained.
func (l *Language[G]) explainEarlier(prefix string, e *Error) *Error {
	_, err := l.parser.ParseString("", prefix+" "+valueProbes[0].text)
	var positioned participle.Error
	if errors.As(err, &positioned) && positioned.Position().Offset < len(prefix) {
		return l.explain(prefix, err)
	}
	e.Expected = []string{endOfText}
	return e
}

// expected returns what may follow a valid prefix of a text. It tries every
// keyword, unless any word may follow. A keyword may follow if the parser gets
// past it.
func (l *Language[G]) expected(prefix string) []string {
	var expected []string
	if !l.follows(prefix, anyWord) {
		expected = l.following(prefix)
	}
	for _, p := range valueProbes {
		if l.follows(prefix, p.text) {
			expected = append(expected, p.name)
			break
		}
	}
	if _, err := l.parser.ParseString("", prefix); err == nil {
		expected = append(expected, endOfText)
	}
	return expected
}

// following returns the keywords that may follow the prefix.
func (l *Language[G]) following(prefix string) []string {
	var keywords []string
	for _, k := range l.keywords {
		if l.follows(prefix, k) {
			keywords = append(keywords, k)
		}
	}
	return keywords
}

// follows reports whether a token may follow the prefix.
func (l *Language[G]) follows(prefix, token string) bool {
	_, err := l.parser.ParseString("", prefix+" "+token)
	if err == nil {
		return true
	}
	var positioned participle.Error
	if !errors.As(err, &positioned) {
		return false
	}
	return positioned.Position().Offset > len(prefix)+1
}

// skipSpace advances a position past white space.
func skipSpace(text string, pos lexer.Position) lexer.Position {
	pos.Offset = min(pos.Offset, len(text))
	for _, r := range text[pos.Offset:] {
		if !strings.ContainsRune(space, r) {
			break
		}
		pos.Offset += utf8.RuneLen(r)
		pos.Column++
		if r == '\n' {
			pos.Line++
			pos.Column = 1
		}
	}
	return pos
}

// firstWord returns the text up to the first white space.
func firstWord(text string) string {
	if i := strings.IndexAny(text, space); i >= 0 {
		return text[:i]
	}
	return text
}
