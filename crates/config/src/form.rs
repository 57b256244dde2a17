//! Values out of a tree: each form `(key ...)` is asked for its keys, and what is missing, doubled, unknown or
//! malformed is noted with its place and the fix. Reading goes on after an error.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use nettleferry::Micros;

use crate::syntax::{self, Node, Span};

/// One thing wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file, as the caller named it.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// The offending text, cut to a line.
    pub text: String,
    /// What is wrong and what to write instead.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.what)?;
        if self.text.is_empty() { Ok(()) } else { write!(f, "\n    {}", self.text) }
    }
}

/// All that is wrong with a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Errors(pub Vec<Fault>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.0.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

/// Most errors told of one file.
const MOST_FAULTS: usize = 50;
/// Longest piece of offending text shown, in characters.
const MOST_SHOWN: usize = 80;

/// A text being read.
#[derive(Clone)]
pub struct Source {
    inner: Rc<Inner>,
}

struct Inner {
    file: String,
    text: String,
    faults: RefCell<Vec<(Span, String)>>,
}

impl Source {
    /// Reads a text as one form whose keys are the text's own lists.
    pub fn open(file: &str, text: &str) -> (Self, Form) {
        let (nodes, faults) = syntax::read(text);
        let inner = Inner { file: file.to_owned(), text: text.to_owned(), faults: RefCell::new(faults) };
        let source = Self { inner: Rc::new(inner) };
        let span = Span { from: 0, to: 0 };
        let form = Form::new(source.clone(), "the file".to_owned(), nodes, span);
        (source, form)
    }

    /// Notes that something at `span` is wrong.
    pub fn fault(&self, span: Span, what: impl Into<String>) {
        self.inner.faults.borrow_mut().push((span, what.into()));
    }

    /// `value` if nothing was wrong, else all that was.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Errors> {
        let mut faults = self.inner.faults.borrow().clone();
        faults.sort_by_key(|(span, _)| span.from);
        faults.dedup();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(Errors(
                faults.iter().take(MOST_FAULTS).map(|(span, what)| self.place(*span, what)).collect(),
            )),
        }
    }

    fn place(&self, span: Span, what: &str) -> Fault {
        let text = &self.inner.text;
        let before = &text[..span.from.min(text.len())];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let shown = text.get(span.from..span.to).unwrap_or("").lines().next().unwrap_or("");
        Fault {
            file: self.inner.file.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            text: shown.chars().take(MOST_SHOWN).collect(),
            what: what.to_owned(),
        }
    }
}

/// A value that an atom can stand for.
pub trait Value: Sized {
    /// What to write, for errors.
    const WANTED: &'static str;
    /// Reads it.
    fn read(text: &str) -> Option<Self>;
}

impl Value for String {
    const WANTED: &'static str = "a word or a \"string\"";
    fn read(text: &str) -> Option<Self> {
        Some(text.to_owned())
    }
}

impl Value for bool {
    const WANTED: &'static str = "yes or no";
    fn read(text: &str) -> Option<Self> {
        match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        }
    }
}

impl Value for u64 {
    const WANTED: &'static str = "a whole number";
    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for i64 {
    const WANTED: &'static str = "a whole number";
    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for u32 {
    const WANTED: &'static str = "a whole number below 2^32";
    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for f64 {
    const WANTED: &'static str = "a number that is not negative, such as 0.3";
    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0)
    }
}

impl Value for SocketAddr {
    const WANTED: &'static str = "an address and port, such as \"127.0.0.1:8001\" or \"[::1]:8001\"";
    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSpan(pub Micros);

fn with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let number: f64 = number.parse().ok()?;
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    let value = number * factor;
    (value.is_finite() && value < 9e15).then_some(value)
}

impl Value for TimeSpan {
    const WANTED: &'static str = "a span with its unit: us, ms, s, min or h, such as 600ms or 4s";
    fn read(text: &str) -> Option<Self> {
        let units = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3600e6)];
        with_unit(text, &units).map(|us| Self(us.round() as Micros))
    }
}

/// A size in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bytes(pub u64);

impl Value for Bytes {
    const WANTED: &'static str = "a size with its unit: B, KiB, MiB or GiB, such as 64MiB";
    fn read(text: &str) -> Option<Self> {
        let units =
            [("B", 1.0), ("KiB", 1024.0), ("MiB", 1024.0 * 1024.0), ("GiB", 1024.0 * 1024.0 * 1024.0)];
        with_unit(text, &units).map(|bytes| Self(bytes.round() as u64))
    }
}

/// A list `(name positional... (key ...)...)` whose parts are taken one by one.
pub struct Form {
    source: Source,
    name: String,
    items: Vec<Option<Node>>,
    span: Span,
    known: Vec<&'static str>,
}

impl Form {
    fn new(source: Source, name: String, items: Vec<Node>, span: Span) -> Self {
        Self { source, name, items: items.into_iter().map(Some).collect(), span, known: Vec::new() }
    }

    /// Its first word.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it stands.
    pub fn span(&self) -> Span {
        self.span
    }

    /// Its text between the parentheses, after its first word: for settings that are handed on.
    pub fn text(&self) -> &str {
        let whole = self.source.inner.text.get(self.span.from..self.span.to).unwrap_or("");
        let inner = whole.strip_prefix('(').and_then(|t| t.strip_suffix(')')).unwrap_or(whole);
        inner.trim_start().strip_prefix(self.name.as_str()).unwrap_or(inner)
    }

    /// Lets go of all that is left, without errors: its text was handed on.
    pub fn hand_on(mut self) {
        self.items.clear();
    }

    /// Notes that the whole form is wrong.
    pub fn fault(&self, what: impl Into<String>) {
        self.source.fault(self.span, what);
    }

    fn value<T: Value>(&self, node: &Node) -> Option<T> {
        match node {
            Node::Atom { text, span } => {
                let value = T::read(text);
                if value.is_none() {
                    self.source.fault(*span, format!("({} ...): write {}", self.name, T::WANTED));
                }
                value
            }
            Node::List { span, .. } => {
                self.source.fault(*span, format!("({} ...): write {}, not a list", self.name, T::WANTED));
                None
            }
        }
    }

    /// The next part that is no list, where there is one.
    pub fn take<T: Value>(&mut self) -> Option<T> {
        let at = self.items.iter().position(|item| matches!(item, Some(Node::Atom { .. })))?;
        let node = self.items[at].take()?;
        self.value(&node)
    }

    /// The next part that is no list; it must be there.
    pub fn want<T: Value>(&mut self, what: &str) -> Option<T> {
        if !self.items.iter().any(|item| matches!(item, Some(Node::Atom { .. }))) {
            self.fault(format!("({} ...) lacks {what}: write {}", self.name, T::WANTED));
            return None;
        }
        self.take()
    }

    /// The next part as one of several words.
    pub fn word<T: Copy>(&mut self, what: &str, words: &[(&str, T)]) -> Option<T> {
        let at = self.items.iter().position(|item| matches!(item, Some(Node::Atom { .. })));
        let all = || words.iter().map(|(w, _)| *w).collect::<Vec<_>>().join(", ");
        let Some(Node::Atom { text, span }) = at.and_then(|at| self.items[at].take()) else {
            self.fault(format!("({} ...) lacks {what}: write one of {}", self.name, all()));
            return None;
        };
        let found = words.iter().find(|(w, _)| *w == text).map(|(_, v)| *v);
        if found.is_none() {
            let hint = nearest(&text, words.iter().map(|(w, _)| *w));
            self.source.fault(span, format!("{what} is one of {}{hint}", all()));
        }
        found
    }

    /// The lists of one key, in order.
    pub fn all(&mut self, key: &'static str) -> Vec<Form> {
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

    /// The list of a key that may stand once.
    pub fn sub(&mut self, key: &'static str) -> Option<Form> {
        let mut found = self.all(key).into_iter();
        let first = found.next();
        for again in found {
            again.fault(format!("({key} ...) stands twice in {}: keep one", self.name));
        }
        first
    }

    /// The list of a key, or an empty one: for groups in which everything has a default.
    pub fn group(&mut self, key: &'static str) -> Form {
        let span = self.span;
        self.sub(key).unwrap_or_else(|| Form::new(self.source.clone(), key.to_owned(), Vec::new(), span))
    }

    /// The list of a key that must stand.
    pub fn need(&mut self, key: &'static str) -> Option<Form> {
        let found = self.sub(key);
        if found.is_none() {
            self.fault(format!("{} lacks ({key} ...)", self.name));
        }
        found
    }

    /// The value of `(key value)`, where it stands.
    pub fn get<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let mut form = self.sub(key)?;
        let value = form.want("its value");
        form.end();
        value
    }

    /// The value of `(key value)`, or the default.
    pub fn or<T: Value>(&mut self, key: &'static str, default: T) -> T {
        self.get(key).unwrap_or(default)
    }

    /// The value of `(key value)`, which must stand.
    pub fn must<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let mut form = self.need(key)?;
        let value = form.want("its value");
        form.end();
        value
    }

    /// A span in microseconds, or the default.
    pub fn span_or(&mut self, key: &'static str, default: Micros) -> Micros {
        self.or(key, TimeSpan(default)).0
    }

    /// A word of `(key word)`, or the default.
    pub fn word_or<T: Copy>(&mut self, key: &'static str, words: &[(&str, T)], default: T) -> T {
        let Some(mut form) = self.sub(key) else { return default };
        let value = form.word(key, words);
        form.end();
        value.unwrap_or(default)
    }

    /// All lists that are left, with their first word as name: for files whose keys are events.
    pub fn rest(&mut self) -> Vec<Form> {
        let mut found = Vec::new();
        for item in &mut self.items {
            if let Some(Node::List { items, span }) = item
                && let Some(Node::Atom { text, .. }) = items.first()
            {
                let (name, items, span) = (text.clone(), items[1..].to_vec(), *span);
                *item = None;
                found.push(Form::new(self.source.clone(), name, items, span));
            }
        }
        found
    }

    /// Whatever is left is unknown: each part is noted, with the nearest key that is known here.
    pub fn end(self) {
        for item in self.items.iter().flatten() {
            match item {
                Node::List { items, span } => match items.first() {
                    Some(Node::Atom { text, .. }) => {
                        let hint = nearest(text, self.known.iter().copied());
                        self.source.fault(*span, format!("{} has no key ({text} ...){hint}", self.name));
                    }
                    _ => self.source.fault(*span, format!("{}: a list begins with its key", self.name)),
                },
                Node::Atom { text, span } => {
                    self.source
                        .fault(*span, format!("{} takes nothing more: {text:?} is left over", self.name));
                }
            }
        }
    }
}

/// ": did you mean x?" for the nearest word, where one is near.
pub fn nearest<'a>(text: &str, words: impl Iterator<Item = &'a str>) -> String {
    let near = words
        .map(|word| (strsim::damerau_levenshtein(text, word), word))
        .filter(|(far, word)| *far <= (word.len() / 3).max(1))
        .min();
    near.map_or(String::new(), |(_, word)| format!(": did you mean {word}?"))
}

#[cfg(test)]
mod tests;
