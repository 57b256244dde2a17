//! Parses S-expressions: words, strings in double quotes with the escapes `\"`, `\\`, `\n` and `\t`, lists in
//! parentheses, and comments from `;` to the end of the line. Parsing continues after an error, so that all errors of a
//! file are reported at once.

use winnow::Parser;
use winnow::ascii::multispace1;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::error::ContextError;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, take_till, take_while};

/// The maximum length of a text, bytes.
pub const MAX_TEXT_BYTES: usize = 16 << 20;
/// The maximum depth of nested lists.
pub const MAX_DEPTH: usize = 32;

/// A range of a text, as byte offsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The offset of the first byte.
    pub from: usize,
    /// The offset after the last byte.
    pub to: usize,
}

/// A node of the syntax tree.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// A word or a quoted string.
    Atom {
        /// The content, without quotes and with escapes resolved.
        text: String,
        /// The range in the text, quotes included.
        span: Span,
    },
    /// A list in parentheses.
    List {
        /// The nodes between the parentheses.
        items: Vec<Node>,
        /// The range in the text, parentheses included; only the opening one if the list is not closed.
        span: Span,
    },
}

impl Node {
    /// The range of the node in the text.
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

/// Parses a string in quotes and resolves its escapes.
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

/// Parses the next token. Whitespace and comments are [`Token::Blank`].
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

/// An error at a position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// The range of the text that is wrong.
    pub span: Span,
    /// The problem and how to fix it.
    pub message: String,
}

/// The result of parsing a text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Syntax {
    /// The nodes that are in no list, in order.
    pub nodes: Vec<Node>,
    /// The errors. Invalid text is left out of the nodes; unclosed lists are included.
    pub errors: Vec<SyntaxError>,
}

/// Parses a text. Errors are part of the result.
pub fn parse(text: &str) -> Syntax {
    let mut parser = SyntaxParser { text, open_lists: Vec::new(), syntax: Syntax::default() };
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("the text has {} bytes: must be at most {MAX_TEXT_BYTES}", text.len());
        parser.error(Span { from: 0, to: 0 }, message);
        return parser.syntax;
    }
    if parser.read_tokens() {
        parser.close_open_lists();
    }
    parser.syntax
}

/// A list whose closing parenthesis has not been read yet.
struct OpenList {
    from: usize,
    items: Vec<Node>,
}

struct SyntaxParser<'a> {
    text: &'a str,
    /// From the outermost to the innermost.
    open_lists: Vec<OpenList>,
    syntax: Syntax,
}

impl SyntaxParser<'_> {
    fn error(&mut self, span: Span, message: impl Into<String>) {
        self.syntax.errors.push(SyntaxError { span, message: message.into() });
    }

    /// Adds a complete node to the innermost open list, or to the top level.
    fn push(&mut self, node: Node) {
        match self.open_lists.last_mut() {
            Some(list) => list.items.push(node),
            None => self.syntax.nodes.push(node),
        }
    }

    /// Reads the tokens up to the end of the text. Returns false if it stopped early because lists are nested too deep.
    fn read_tokens(&mut self) -> bool {
        let mut input = LocatingSlice::new(self.text);
        while !input.is_empty() {
            let from = input.current_token_start();
            let before = input.checkpoint();
            let parsed = token(&mut input);
            let span = Span { from, to: input.current_token_start() };
            match parsed {
                Ok(Token::Blank) => {}
                Ok(Token::Open) if self.open_lists.len() == MAX_DEPTH => {
                    self.error(span, format!("lists are nested deeper than {MAX_DEPTH} levels"));
                    return false;
                }
                Ok(Token::Open) => self.open_lists.push(OpenList { from, items: Vec::new() }),
                Ok(Token::Close) => self.close_list(span),
                Ok(Token::Atom(text)) => self.push(Node::Atom { text, span }),
                Err(_) => {
                    input.reset(&before);
                    let skipped = self.report_invalid_text(from);
                    input.next_slice(skipped);
                }
            }
        }
        true
    }

    fn close_list(&mut self, span: Span) {
        match self.open_lists.pop() {
            Some(OpenList { from, items }) => {
                self.push(Node::List { items, span: Span { from, to: span.to } })
            }
            None => self.error(span, "this ) has no matching (: remove it or add a ("),
        }
    }

    /// Reports that no token begins at `from`: the text there is an invalid string, or whitespace that [`token`] does
    /// not accept, such as a no-break space. Returns the number of bytes to skip: the rest of the line, and at least 1.
    fn report_invalid_text(&mut self, from: usize) -> usize {
        let rest = &self.text[from..];
        let line = rest.find('\n').unwrap_or(rest.len());
        let message = "this is a string without a closing quote or with an escape other than \\\" \\\\ \\n \\t, or \
                       whitespace other than space, tab and line break";
        self.error(Span { from, to: from + line }, message);
        line.max(1)
    }

    /// Reports the lists that are still open at the end of the text, innermost first, and adds them to the top level.
    fn close_open_lists(&mut self) {
        for OpenList { from, items } in std::mem::take(&mut self.open_lists).into_iter().rev() {
            let span = Span { from, to: from + 1 };
            self.error(span, "this ( is never closed: add a )");
            self.syntax.nodes.push(Node::List { items, span });
        }
    }
}

#[cfg(test)]
mod tests;
