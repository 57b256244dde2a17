//! A text being read, and the errors found in it with their places.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::syntax::{Span, SyntaxError};

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file, as the caller named it.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// The wrong text, cut to a line.
    pub excerpt: String,
    /// What is wrong and what to write instead.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.message)?;
        if self.excerpt.is_empty() { Ok(()) } else { write!(f, "\n    {}", self.excerpt) }
    }
}

/// All errors of a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Errors(pub Vec<Diagnostic>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, diagnostic) in self.0.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

/// Most errors reported for one file.
const MAX_ERRORS: usize = 50;
/// Longest excerpt, in characters.
const MAX_EXCERPT_CHARS: usize = 80;

/// A text that is being read, with the errors found so far.
#[derive(Clone)]
pub struct Source {
    inner: Rc<Inner>,
}

struct Inner {
    file: String,
    text: String,
    errors: RefCell<Vec<SyntaxError>>,
}

impl Source {
    /// A text, and the errors of its syntax. `file`: its name, for errors.
    pub(super) fn new(file: &str, text: &str, errors: Vec<SyntaxError>) -> Self {
        let inner = Inner { file: file.to_owned(), text: text.to_owned(), errors: RefCell::new(errors) };
        Self { inner: Rc::new(inner) }
    }

    /// The text at a span; empty where the span is not of this text.
    pub(super) fn text_at(&self, span: Span) -> &str {
        self.inner.text.get(span.from..span.to).unwrap_or("")
    }

    /// Adds an error.
    pub fn error(&self, span: Span, message: impl Into<String>) {
        self.inner.errors.borrow_mut().push(SyntaxError { span, message: message.into() });
    }

    /// `value` if there is one and no error was found.
    ///
    /// # Errors
    /// Else all errors, in the order of their places.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Errors> {
        let mut errors = self.inner.errors.borrow().clone();
        errors.sort_by_key(|error| error.span.from);
        errors.dedup();
        match value {
            Some(value) if errors.is_empty() => Ok(value),
            _ => Err(Errors(errors.iter().take(MAX_ERRORS).map(|error| self.diagnostic(error)).collect())),
        }
    }

    fn diagnostic(&self, error: &SyntaxError) -> Diagnostic {
        let text = &self.inner.text;
        let before = &text[..error.span.from.min(text.len())];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let first_line = self.text_at(error.span).lines().next().unwrap_or("");
        Diagnostic {
            file: self.inner.file.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            excerpt: first_line.chars().take(MAX_EXCERPT_CHARS).collect(),
            message: error.message.clone(),
        }
    }
}
