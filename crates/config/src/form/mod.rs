//! Values out of a tree of lists: each list `(key ...)` is asked for the keys that it may have, and what is missing,
//! doubled, unknown or malformed becomes an error with its place and the fix. Reading goes on after an error.
//!
//! [`source`]: the text and its errors. [`value`]: values of atoms.

mod source;
mod value;

use nettleferry::Micros;

pub use self::source::{Diagnostic, Errors, Source};
pub use self::value::{Bytes, TimeSpan, Value};
use crate::syntax::{self, Node, Span, Syntax};

/// A list `(name item... (key ...)...)` whose items and lists are taken one by one.
pub struct Form {
    source: Source,
    name: String,
    items: Vec<Option<Node>>,
    span: Span,
    known: Vec<&'static str>,
}

impl Form {
    /// Parses a text as one form whose keys are the text's own lists. `file`: its name, for errors.
    pub fn parse(file: &str, text: &str) -> (Source, Self) {
        let Syntax { nodes, errors } = syntax::parse(text);
        let source = Source::new(file, text, errors);
        let form = Self::new(source.clone(), "the file".to_owned(), nodes, Span { from: 0, to: 0 });
        (source, form)
    }

    fn new(source: Source, name: String, items: Vec<Node>, span: Span) -> Self {
        Self { source, name, items: items.into_iter().map(Some).collect(), span, known: Vec::new() }
    }

    /// Its first word.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its place in the text.
    pub fn span(&self) -> Span {
        self.span
    }

    /// Its text between the parentheses, after its first word: for settings that another reader parses.
    pub fn text(&self) -> &str {
        let whole = self.source.text_at(self.span);
        let inner = whole.strip_prefix('(').and_then(|t| t.strip_suffix(')')).unwrap_or(whole);
        inner.trim_start().strip_prefix(self.name.as_str()).unwrap_or(inner)
    }

    /// Drops what is left without errors: another reader parses it.
    pub fn discard(mut self) {
        self.items.clear();
    }

    /// Adds an error at the whole list.
    pub fn error(&self, message: impl Into<String>) {
        self.source.error(self.span, message);
    }

    fn value<T: Value>(&self, node: &Node) -> Option<T> {
        match node {
            Node::Atom { text, span } => {
                let value = T::parse(text);
                if value.is_none() {
                    self.source.error(*span, format!("({} ...): write {}", self.name, T::EXPECTED));
                }
                value
            }
            Node::List { span, .. } => {
                self.source.error(*span, format!("({} ...): write {}, not a list", self.name, T::EXPECTED));
                None
            }
        }
    }

    /// The next atom, where there is one.
    pub fn next_item<T: Value>(&mut self) -> Option<T> {
        let at = self.items.iter().position(|item| matches!(item, Some(Node::Atom { .. })))?;
        let node = self.items[at].take()?;
        self.value(&node)
    }

    /// The next atom, which is required. `what`: its description, for the error.
    pub fn required_item<T: Value>(&mut self, what: &str) -> Option<T> {
        if !self.items.iter().any(|item| matches!(item, Some(Node::Atom { .. }))) {
            self.error(format!("({} ...) lacks {what}: write {}", self.name, T::EXPECTED));
            return None;
        }
        self.next_item()
    }

    /// The next atom as one of several keywords, which is required.
    pub fn keyword<T: Copy>(&mut self, what: &str, keywords: &[(&str, T)]) -> Option<T> {
        let at = self.items.iter().position(|item| matches!(item, Some(Node::Atom { .. })));
        let all = || keywords.iter().map(|(w, _)| *w).collect::<Vec<_>>().join(", ");
        let Some(Node::Atom { text, span }) = at.and_then(|at| self.items[at].take()) else {
            self.error(format!("({} ...) lacks {what}: write one of {}", self.name, all()));
            return None;
        };
        let found = keywords.iter().find(|(w, _)| *w == text).map(|(_, v)| *v);
        if found.is_none() {
            let hint = nearest(&text, keywords.iter().map(|(w, _)| *w));
            self.source.error(span, format!("{what} is one of {}{hint}", all()));
        }
        found
    }

    /// The lists of a key, in order.
    pub fn lists(&mut self, key: &'static str) -> Vec<Form> {
        self.known.push(key);
        let mut found = Vec::new();
        for item in &mut self.items {
            let ours = matches!(item, Some(Node::List { items, .. })
                if matches!(items.first(), Some(Node::Atom { text, .. }) if text == key));
            if ours && let Some(Node::List { mut items, span }) = item.take() {
                items.remove(0);
                found.push(Form::new(self.source.clone(), key.to_owned(), items, span));
            }
        }
        found
    }

    /// The list of a key, which may occur once.
    pub fn optional_list(&mut self, key: &'static str) -> Option<Form> {
        let mut found = self.lists(key).into_iter();
        let first = found.next();
        for duplicate in found {
            duplicate.error(format!("({key} ...) stands twice in {}: keep one", self.name));
        }
        first
    }

    /// The list of a key, or an empty one: for lists in which everything has a default.
    pub fn list_or_empty(&mut self, key: &'static str) -> Form {
        let span = self.span;
        self.optional_list(key)
            .unwrap_or_else(|| Form::new(self.source.clone(), key.to_owned(), Vec::new(), span))
    }

    /// The list of a key, which is required.
    pub fn required_list(&mut self, key: &'static str) -> Option<Form> {
        let found = self.optional_list(key);
        if found.is_none() {
            self.error(format!("{} lacks ({key} ...)", self.name));
        }
        found
    }

    /// The value of `(key value)`, where it is given.
    pub fn optional<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let mut form = self.optional_list(key)?;
        let value = form.required_item("its value");
        form.finish();
        value
    }

    /// The value of `(key value)`, or the default.
    pub fn value_or<T: Value>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// The value of `(key value)`, which is required.
    pub fn required<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let mut form = self.required_list(key)?;
        let value = form.required_item("its value");
        form.finish();
        value
    }

    /// The microseconds of `(key time)`, or the default.
    pub fn micros_or(&mut self, key: &'static str, default: Micros) -> Micros {
        self.value_or(key, TimeSpan(default)).0
    }

    /// The keyword of `(key keyword)`, or the default.
    pub fn keyword_or<T: Copy>(&mut self, key: &'static str, keywords: &[(&str, T)], default: T) -> T {
        let Some(mut form) = self.optional_list(key) else { return default };
        let value = form.keyword(key, keywords);
        form.finish();
        value.unwrap_or(default)
    }

    /// All lists that are left, named by their first word: for files whose keys are events.
    pub fn remaining_lists(&mut self) -> Vec<Form> {
        let mut found = Vec::new();
        for item in &mut self.items {
            if let Some(Node::List { items, span }) = item
                && let Some(Node::Atom { text, .. }) = items.first()
            {
                let name = text.clone();
                let form = Form::new(self.source.clone(), name, items[1..].to_vec(), *span);
                *item = None;
                found.push(form);
            }
        }
        found
    }

    /// Ends reading: adds an error for each part that is left, with the nearest key that is known here.
    pub fn finish(self) {
        for item in self.items.iter().flatten() {
            match item {
                Node::List { items, span } => match items.first() {
                    Some(Node::Atom { text, .. }) => {
                        let hint = nearest(text, self.known.iter().copied());
                        self.source.error(*span, format!("{} has no key ({text} ...){hint}", self.name));
                    }
                    _ => self.source.error(*span, format!("{}: a list begins with its key", self.name)),
                },
                Node::Atom { text, span } => {
                    self.source
                        .error(*span, format!("{} takes nothing more: {text:?} is left over", self.name));
                }
            }
        }
    }
}

/// The suggestion ": did you mean x?" with the nearest of the words; empty where none is near.
pub fn nearest<'a>(text: &str, words: impl Iterator<Item = &'a str>) -> String {
    let near = words
        .map(|word| (strsim::damerau_levenshtein(text, word), word))
        .filter(|(distance, word)| *distance <= (word.len() / 3).max(1))
        .min();
    near.map_or(String::new(), |(_, word)| format!(": did you mean {word}?"))
}

#[cfg(test)]
mod tests;
