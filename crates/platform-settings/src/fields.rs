//! Fields of a JSON object by name: an absent or null field, a value of the expected kind, or an error that names the
//! field by its path.

use nettleferry::Micros;
use serde_json::{Map, Value};

use crate::micros;

/// A setting that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {path} {reason}")]
pub struct FieldError {
    /// Its path, as in `classes[1].deadline_ms`.
    pub path: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// An object's fields, and the path that leads to it.
pub(crate) struct Fields<'a> {
    path: String,
    /// `None`: the object is absent, and so are all its fields.
    object: Option<&'a Map<String, Value>>,
}

impl<'a> Fields<'a> {
    /// Those of the outermost object.
    pub(crate) fn of(value: &'a Value) -> Result<Self, FieldError> {
        match value {
            Value::Object(object) => Ok(Self { path: String::new(), object: Some(object) }),
            _ => Err(FieldError { path: "settings".to_owned(), reason: "is no object" }),
        }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// The error that a field is wrong.
    pub(crate) fn error(&self, name: &str, reason: &'static str) -> FieldError {
        FieldError { path: self.path_of(name), reason }
    }

    /// The error that a required field is missing.
    pub(crate) fn missing(&self, name: &str) -> FieldError {
        self.error(name, "is missing")
    }

    fn value(&self, name: &str) -> Option<&'a Value> {
        self.object?.get(name).filter(|value| !value.is_null())
    }

    /// A field as `read` converts it; `reason`: the error where it can't.
    fn read<T>(
        &self,
        name: &str,
        reason: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, FieldError> {
        match self.value(name) {
            Some(value) => read(value).map(Some).ok_or_else(|| self.error(name, reason)),
            None => Ok(None),
        }
    }

    /// An object within this one.
    pub(crate) fn object(&self, name: &str) -> Result<Fields<'a>, FieldError> {
        let object = self.read(name, "is no object", Value::as_object)?;
        Ok(Fields { path: self.path_of(name), object })
    }

    /// A list of objects; absent: an empty one.
    pub(crate) fn list(&self, name: &str) -> Result<Vec<Fields<'a>>, FieldError> {
        let values = self.read(name, "is no list", Value::as_array)?.map_or(&[][..], Vec::as_slice);
        let fields = values.iter().enumerate().map(|(at, value)| {
            let path = format!("{}[{at}]", self.path_of(name));
            match value {
                Value::Object(object) => Ok(Fields { path, object: Some(object) }),
                _ => Err(FieldError { path, reason: "is no object" }),
            }
        });
        fields.collect()
    }

    /// A time in milliseconds, as microseconds.
    pub(crate) fn duration(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        let time = |value: &Value| value.as_f64().filter(|ms| *ms >= 0.0).and_then(|_| micros(value));
        self.read(name, "is no time in milliseconds", time)
    }

    /// A number from 0 on.
    pub(crate) fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        let number = |value: &Value| value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        self.read(name, "is no figure of 0 or more", number)
    }

    /// An integer from 0 on, also where it is written as 3.0.
    pub(crate) fn integer(&self, name: &str) -> Result<Option<u64>, FieldError> {
        let from_float =
            |value: &Value| value.as_f64().filter(|f| f.fract() == 0.0 && (0.0..1e15).contains(f));
        self.read(name, "is no whole number of 0 or more", |value| {
            value.as_u64().or_else(|| from_float(value).map(|number| number as u64))
        })
    }

    /// An integer from 0 on; beyond 32 bits, the greatest that they hold.
    pub(crate) fn integer_u32(&self, name: &str) -> Result<Option<u32>, FieldError> {
        Ok(self.integer(name)?.map(|number| u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// A boolean; absent: false.
    pub(crate) fn boolean(&self, name: &str) -> Result<bool, FieldError> {
        Ok(self.read(name, "is neither true nor false", Value::as_bool)?.unwrap_or(false))
    }

    /// A text.
    pub(crate) fn text(&self, name: &str) -> Result<Option<&'a str>, FieldError> {
        self.read(name, "is no text", Value::as_str)
    }

    /// One of several keywords.
    pub(crate) fn keyword<T: Copy>(
        &self,
        name: &str,
        keywords: &[(&str, T)],
    ) -> Result<Option<T>, FieldError> {
        let known =
            |text: &str| keywords.iter().find(|(keyword, _)| *keyword == text).map(|(_, meaning)| *meaning);
        self.read(name, "is none of the words that it may be", |value| value.as_str().and_then(known))
    }
}
