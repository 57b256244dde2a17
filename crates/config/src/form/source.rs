//! A text that is being read, and the errors found in it with their positions.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::syntax::{Span, SyntaxError};

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The name of the file as passed by the caller.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// The first line of the wrong text, shortened if it is long.
    pub excerpt: String,
    /// The problem and how to fix it.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.message)?;
        if self.excerpt.is_empty() { Ok(()) } else { write!(f, "\n    {}", self.excerpt) }
    }
}

/// The errors of a file, in the order of their positions; only the first ones if there are many.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Errors(pub Vec<Diagnostic>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

/// The maximum number of errors reported for one file.
const MAX_ERRORS: usize = 50;
/// The maximum length of an excerpt, characters.
const MAX_EXCERPT_CHARS: usize = 80;

/// A text that is being read and the errors found so far. Clones share the list of errors.
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
    /// Creates the source of a text. `errors` are its syntax errors, `file` is the file's name in error messages.
    pub(super) fn new(file: &str, text: &str, errors: Vec<SyntaxError>) -> Self {
        let inner = Inner { file: file.to_owned(), text: text.to_owned(), errors: RefCell::new(errors) };
        Self { inner: Rc::new(inner) }
    }

    /// The text in a range; empty if the range is not within the text.
    pub(super) fn text_at(&self, span: Span) -> &str {
        self.inner.text.get(span.from..span.to).unwrap_or("")
    }

    /// Adds an error about a range of the text.
    pub fn error(&self, span: Span, message: impl Into<String>) {
        self.inner.errors.borrow_mut().push(SyntaxError { span, message: message.into() });
    }

    /// Returns `value` if it is present and no error was reported.
    ///
    /// # Errors
    /// Otherwise the errors, in the order of their positions.
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
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
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
