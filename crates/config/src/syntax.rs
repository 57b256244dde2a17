//! S-expressions: atoms, "strings" with `\"`, `\\`, `\n` and `\t`, lists in parentheses, comments from `;` to
//! the line's end. What is broken is reported and passed over, so that one file shows all its errors at once.

use winnow::Parser;
use winnow::ascii::multispace1;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::error::ContextError;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, take_till, take_while};

/// Longest text taken, in bytes.
pub const MOST_TEXT: usize = 16 << 20;
/// Deepest nesting taken.
pub const MOST_DEPTH: usize = 32;

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
    /// Where it stands.
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

/// Reads a text into its values, and what is wrong with it.
pub fn read(text: &str) -> (Vec<Node>, Vec<(Span, String)>) {
    let mut errors = Vec::new();
    if text.len() > MOST_TEXT {
        errors.push((
            Span { from: 0, to: 0 },
            format!("the text has {} bytes; at most {MOST_TEXT} are read", text.len()),
        ));
        return (Vec::new(), errors);
    }
    let mut input = LocatingSlice::new(text);
    // Lists that are open: where each began, and what it holds so far.
    let mut open: Vec<(usize, Vec<Node>)> = Vec::new();
    let mut done: Vec<Node> = Vec::new();
    while !input.is_empty() {
        let from = input.current_token_start();
        let before = input.checkpoint();
        let found = token(&mut input);
        let span = Span { from, to: input.current_token_start() };
        let node = match found {
            Ok(Token::Blank) => continue,
            Ok(Token::Open) => {
                if open.len() == MOST_DEPTH {
                    errors.push((span, format!("lists are nested deeper than {MOST_DEPTH}")));
                    return (done, errors);
                }
                open.push((from, Vec::new()));
                continue;
            }
            Ok(Token::Close) => match open.pop() {
                Some((began, items)) => Node::List { items, span: Span { from: began, to: span.to } },
                None => {
                    errors.push((
                        span,
                        "this ) closes nothing: remove it, or add the ( it belongs to".to_owned(),
                    ));
                    continue;
                }
            },
            Ok(Token::Atom(text)) => Node::Atom { text, span },
            Err(_) => {
                // Only a string can fail: its quote is passed over with its line.
                input.reset(&before);
                let rest = &text[from..];
                let line = rest.find('\n').unwrap_or(rest.len());
                let what =
                    "this string has no closing quote on its line, or an escape other than \\\" \\\\ \\n \\t";
                errors.push((Span { from, to: from + line }, what.to_owned()));
                input.next_slice(line.max(1));
                continue;
            }
        };
        match open.last_mut() {
            Some((_, items)) => items.push(node),
            None => done.push(node),
        }
    }
    for (began, items) in open.into_iter().rev() {
        let span = Span { from: began, to: began + 1 };
        errors.push((span, "this ( is never closed: add a )".to_owned()));
        done.push(Node::List { items, span });
    }
    (done, errors)
}

#[cfg(test)]
mod tests;
