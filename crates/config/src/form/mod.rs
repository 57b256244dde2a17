//! Reads values from the lists of a syntax tree. A reader requests each key that a list `(key ...)` may have; keys that
//! are missing, duplicate, unknown or malformed become errors with their position and how to fix them. Reading
//! continues after an error.
//!
//! `source`: the text and the errors found in it. `value`: parsing atoms as values.

mod source;
mod value;

use nettleferry::Micros;

pub use self::source::{Diagnostic, Errors, Source};
pub use self::value::{Bytes, TimeSpan, Value};
use crate::syntax::{self, Node, Span, Syntax};

/// A list `(name item... (key ...)...)`. Its items and lists are removed as they are read; what is left at the end is
/// reported by [`Form::finish`].
pub struct Form {
    source: Source,
    name: String,
    items: Vec<Option<Node>>,
    span: Span,
    /// The keys that were requested so far, for suggestions.
    known_keys: Vec<&'static str>,
}

impl Form {
    /// Parses a text as one form that has the top-level lists of the text as its keys. `file` is the file's name in
    /// error messages.
    pub fn parse(file: &str, text: &str) -> (Source, Self) {
        let Syntax { nodes, errors } = syntax::parse(text);
        let source = Source::new(file, text, errors);
        let form = Self::new(source.clone(), "the file".to_owned(), nodes, Span { from: 0, to: 0 });
        (source, form)
    }

    fn new(source: Source, name: String, items: Vec<Node>, span: Span) -> Self {
        Self { source, name, items: items.into_iter().map(Some).collect(), span, known_keys: Vec::new() }
    }

    /// The key of the list, which is its first word; "the file" for the form of a whole text.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The range of the list in the text.
    pub fn span(&self) -> Span {
        self.span
    }

    /// The text of the list after its key, without the parentheses, for settings that another reader parses.
    pub fn text(&self) -> &str {
        let whole = self.source.text_at(self.span);
        let inner = whole.strip_prefix('(').and_then(|t| t.strip_suffix(')')).unwrap_or(whole);
        inner.trim_start().strip_prefix(self.name.as_str()).unwrap_or(inner)
    }

    /// Ends reading without reporting what is left, because another reader parses it.
    pub fn discard(mut self) {
        self.items.clear();
    }

    /// Reports an error whose position is the whole list.
    pub fn error(&self, message: impl Into<String>) {
        self.source.error(self.span, message);
    }

    fn parse_value<T: Value>(&self, node: &Node) -> Option<T> {
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

    /// Reads the next atom. `None` if no atom is left, and if the atom is not a valid value, which is reported.
    pub fn next_item<T: Value>(&mut self) -> Option<T> {
        let at = self.items.iter().position(|item| matches!(item, Some(Node::Atom { .. })))?;
        let node = self.items[at].take()?;
        self.parse_value(&node)
    }

    /// Reads the next atom and reports an error if it is missing. `what` describes it in the error message.
    pub fn required_item<T: Value>(&mut self, what: &str) -> Option<T> {
        if !self.items.iter().any(|item| matches!(item, Some(Node::Atom { .. }))) {
            self.error(format!("({} ...) lacks {what}: write {}", self.name, T::EXPECTED));
            return None;
        }
        self.next_item()
    }

    /// Reads the next atom as one of `keywords` and reports an error if it is missing or another word. `what` describes
    /// it in the error message.
    pub fn keyword<T: Copy>(&mut self, what: &str, keywords: &[(&str, T)]) -> Option<T> {
        let at = self.items.iter().position(|item| matches!(item, Some(Node::Atom { .. })));
        let all = || keywords.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
        let Some(Node::Atom { text, span }) = at.and_then(|at| self.items[at].take()) else {
            self.error(format!("({} ...) lacks {what}: write one of {}", self.name, all()));
            return None;
        };
        let value = keywords.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        if value.is_none() {
            let hint = suggestion(&text, keywords.iter().map(|(word, _)| *word));
            self.source.error(span, format!("{what} is one of {}{hint}", all()));
        }
        value
    }

    /// Reads all lists with a key, in order.
    pub fn lists(&mut self, key: &'static str) -> Vec<Form> {
        self.known_keys.push(key);
        let mut found = Vec::new();
        for item in &mut self.items {
            let has_key = matches!(item, Some(Node::List { items, .. })
                if matches!(items.first(), Some(Node::Atom { text, .. }) if text == key));
            if has_key && let Some(Node::List { mut items, span }) = item.take() {
                items.remove(0);
                found.push(Form::new(self.source.clone(), key.to_owned(), items, span));
            }
        }
        found
    }

    /// Reads the list with a key, if present. Reports an error if there is more than one.
    pub fn optional_list(&mut self, key: &'static str) -> Option<Form> {
        let mut found = self.lists(key).into_iter();
        let first = found.next();
        for duplicate in found {
            duplicate.error(format!("({key} ...) stands twice in {}: keep one", self.name));
        }
        first
    }

    /// Reads the list with a key, or returns an empty form if there is none. For lists in which each value has a
    /// default.
    pub fn list_or_empty(&mut self, key: &'static str) -> Form {
        let span = self.span;
        self.optional_list(key)
            .unwrap_or_else(|| Form::new(self.source.clone(), key.to_owned(), Vec::new(), span))
    }

    /// Reads the list with a key and reports an error if it is missing.
    pub fn required_list(&mut self, key: &'static str) -> Option<Form> {
        let found = self.optional_list(key);
        if found.is_none() {
            self.error(format!("{} lacks ({key} ...)", self.name));
        }
        found
    }

    /// Reads the value of `(key value)`, if present.
    pub fn optional<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let mut form = self.optional_list(key)?;
        let value = form.required_item("its value");
        form.finish();
        value
    }

    /// Reads the value of `(key value)`, or returns the default.
    pub fn value_or<T: Value>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads the value of `(key value)` and reports an error if it is missing.
    pub fn required<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let mut form = self.required_list(key)?;
        let value = form.required_item("its value");
        form.finish();
        value
    }

    /// Reads the time span of `(key time)`, or returns the default; both in microseconds.
    pub fn micros_or(&mut self, key: &'static str, default: Micros) -> Micros {
        self.value_or(key, TimeSpan(default)).0
    }

    /// Reads the keyword of `(key keyword)`, or returns the default.
    pub fn keyword_or<T: Copy>(&mut self, key: &'static str, keywords: &[(&str, T)], default: T) -> T {
        let Some(mut form) = self.optional_list(key) else { return default };
        let value = form.keyword(key, keywords);
        form.finish();
        value.unwrap_or(default)
    }

    /// Reads all remaining lists whose first element is an atom, whatever it is. For files in which the keys are names
    /// or events and the order of the lists matters.
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

    /// Ends reading and reports an error for each remaining item, with the most similar of the requested keys.
    pub fn finish(self) {
        for item in self.items.iter().flatten() {
            match item {
                Node::List { items, span } => match items.first() {
                    Some(Node::Atom { text, .. }) => {
                        let hint = suggestion(text, self.known_keys.iter().copied());
                        self.source.error(*span, format!("{} has no key ({text} ...){hint}", self.name));
                    }
                    _ => self.source.error(*span, format!("{}: a list begins with its key", self.name)),
                },
                Node::Atom { text, span } => {
                    self.source.error(*span, format!("{}: unexpected value {text:?}", self.name));
                }
            }
        }
    }
}

/// Returns the suggestion ": did you mean x?" with the most similar of `words`, or an empty string if none is similar.
pub fn suggestion<'a>(text: &str, words: impl Iterator<Item = &'a str>) -> String {
    let nearest = words
        .map(|word| (strsim::damerau_levenshtein(text, word), word))
        .filter(|(distance, word)| *distance <= (word.len() / 3).max(1))
        .min();
    nearest.map_or(String::new(), |(_, word)| format!(": did you mean {word}?"))
}

#[cfg(test)]
mod tests;
