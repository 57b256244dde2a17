//! S-expressions: atoms, "strings" with `\"`, `\\`, `\n` and `\t`, lists in parentheses, comments from `;` to
//! the line's end. What is broken is reported and skipped, so that one file shows all its errors at once.

use winnow::Parser;
use winnow::ascii::multispace1;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::error::ContextError;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, take_till, take_while};

/// Longest text that is read, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 << 20;
/// Deepest nesting of lists.
pub const MAX_DEPTH: usize = 32;

/// A place in a text: byte offsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// First byte.
    pub from: usize,
    /// One past the last.
    pub to: usize,
}

/// A value of the text.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// A word or a string.
    Atom {
        /// Its content.
        text: String,
        /// Where.
        span: Span,
    },
    /// A list.
    List {
        /// Its elements.
        items: Vec<Node>,
        /// Where, parentheses included.
        span: Span,
    },
}

impl Node {
    /// Its place in the text.
    pub fn span(&self) -> Span {
        match self {
            Self::Atom { span, .. } | Self::List { span, .. } => *span,
        }
    }
}

enum Token {
    Open,
    Close,
    Atom(String),
    Blank,
}

type Input<'a> = LocatingSlice<&'a str>;

/// A string in quotes, without the quotes and escapes.
fn string(input: &mut Input<'_>) -> Result<Token, ContextError> {
    let escaped = preceded(
        '\\',
        any.verify_map(|c| match c {
            'n' => Some('\n'),
            't' => Some('\t'),
            '"' | '\\' => Some(c),
            _ => None,
        }),
    );
    let content = repeat(0.., alt((none_of(['"', '\\']), escaped))).fold(String::new, |mut text, c| {
        text.push(c);
        text
    });
    delimited('"', content, '"').map(Token::Atom).parse_next(input)
}

/// The next token; blanks and comments are one.
fn token(input: &mut Input<'_>) -> Result<Token, ContextError> {
    alt((
        multispace1.map(|_| Token::Blank),
        (';', take_till(0.., '\n')).map(|_| Token::Blank),
        '('.map(|_| Token::Open),
        ')'.map(|_| Token::Close),
        string,
        take_while(1.., |c: char| !c.is_whitespace() && !"()\";".contains(c))
            .map(|word: &str| Token::Atom(word.to_owned())),
    ))
    .parse_next(input)
}

/// An error at a place of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// Where.
    pub span: Span,
    /// What is wrong and what to write instead.
    pub message: String,
}

/// What a text was parsed to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Syntax {
    /// Its values.
    pub nodes: Vec<Node>,
    /// Its errors; what is broken is not among the values.
    pub errors: Vec<SyntaxError>,
}

/// Parses a text.
pub fn parse(text: &str) -> Syntax {
    let mut parser = SyntaxParser { text, open: Vec::new(), syntax: Syntax::default() };
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("the text has {} bytes; at most {MAX_TEXT_BYTES} are read", text.len());
        parser.error(Span { from: 0, to: 0 }, message);
        return parser.syntax;
    }
    if parser.read_tokens() {
        parser.close_open_lists();
    }
    parser.syntax
}

/// A list whose parenthesis is not closed yet.
struct OpenList {
    from: usize,
    items: Vec<Node>,
}

struct SyntaxParser<'a> {
    text: &'a str,
    /// From the outermost to the innermost.
    open: Vec<OpenList>,
    syntax: Syntax,
}

impl SyntaxParser<'_> {
    fn error(&mut self, span: Span, message: impl Into<String>) {
        self.syntax.errors.push(SyntaxError { span, message: message.into() });
    }

    /// Adds a complete value to the innermost open list.
    fn push(&mut self, node: Node) {
        match self.open.last_mut() {
            Some(list) => list.items.push(node),
            None => self.syntax.nodes.push(node),
        }
    }

    /// Reads to the end of the text. False: lists are nested too deep, and reading stopped there.
    fn read_tokens(&mut self) -> bool {
        let mut input = LocatingSlice::new(self.text);
        while !input.is_empty() {
            let from = input.current_token_start();
            let before = input.checkpoint();
            let found = token(&mut input);
            let span = Span { from, to: input.current_token_start() };
            match found {
                Ok(Token::Blank) => {}
                Ok(Token::Open) if self.open.len() == MAX_DEPTH => {
                    self.error(span, format!("lists are nested deeper than {MAX_DEPTH}"));
                    return false;
                }
                Ok(Token::Open) => self.open.push(OpenList { from, items: Vec::new() }),
                Ok(Token::Close) => self.close(span),
                Ok(Token::Atom(text)) => self.push(Node::Atom { text, span }),
                Err(_) => {
                    input.reset(&before);
                    let skipped = self.broken_string(from);
                    input.next_slice(skipped);
                }
            }
        }
        true
    }

    fn close(&mut self, span: Span) {
        match self.open.pop() {
            Some(OpenList { from, items }) => {
                self.push(Node::List { items, span: Span { from, to: span.to } })
            }
            None => self.error(span, "this ) closes nothing: remove it, or add the ( it belongs to"),
        }
    }

    /// Only a string can fail: the rest of its line is skipped. Returns how many bytes that are.
    fn broken_string(&mut self, from: usize) -> usize {
        let rest = &self.text[from..];
        let line = rest.find('\n').unwrap_or(rest.len());
        let message =
            "this string has no closing quote on its line, or an escape other than \\\" \\\\ \\n \\t";
        self.error(Span { from, to: from + line }, message);
        line.max(1)
    }

    /// At the end of the text, from the innermost list on.
    fn close_open_lists(&mut self) {
        for OpenList { from, items } in std::mem::take(&mut self.open).into_iter().rev() {
            let span = Span { from, to: from + 1 };
            self.error(span, "this ( is never closed: add a )");
            self.syntax.nodes.push(Node::List { items, span });
        }
    }
}

#[cfg(test)]
mod tests;
