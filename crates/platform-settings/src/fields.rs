//! Typed access to the fields of a JSON object. A null field counts as absent. A value of the wrong type is an error
//! that names the field by its path.

use nettleferry::Micros;
use serde_json::{Map, Value};

use crate::micros;

/// The error for an invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {path} {reason}")]
pub struct FieldError {
    /// Path of the field, as in `classes[1].deadline_ms`.
    pub path: String,
    /// What is wrong with the field; follows the path in the error message.
    pub reason: &'static str,
}

/// A JSON object, which may be absent, and the path that leads to it.
pub(crate) struct Fields<'a> {
    /// Path of the object; empty for the outermost object.
    path: String,
    /// `None` if the object is absent; all its fields then count as absent.
    object: Option<&'a Map<String, Value>>,
}

impl<'a> Fields<'a> {
    /// The outermost object of the settings.
    pub(crate) fn of(value: &'a Value) -> Result<Self, FieldError> {
        match value {
            Value::Object(object) => Ok(Self { path: String::new(), object: Some(object) }),
            _ => Err(FieldError { path: "settings".to_owned(), reason: "is no object" }),
        }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// The error for an invalid field of this object.
    pub(crate) fn error(&self, name: &str, reason: &'static str) -> FieldError {
        FieldError { path: self.path_of(name), reason }
    }

    /// The error for a missing field of this object.
    pub(crate) fn missing(&self, name: &str) -> FieldError {
        self.error(name, "is missing")
    }

    fn value(&self, name: &str) -> Option<&'a Value> {
        self.object?.get(name).filter(|value| !value.is_null())
    }

    /// Converts a field with `read`; `None` if the field is absent. If `read` returns `None`, the field is invalid and
    /// the error has this reason.
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

    /// A nested object, which may be absent.
    pub(crate) fn object(&self, name: &str) -> Result<Fields<'a>, FieldError> {
        let object = self.read(name, "is no object", Value::as_object)?;
        Ok(Fields { path: self.path_of(name), object })
    }

    /// The objects of a list; empty if the list is absent.
    pub(crate) fn list(&self, name: &str) -> Result<Vec<Fields<'a>>, FieldError> {
        let values = self.read(name, "is not a list", Value::as_array)?.map_or(&[][..], Vec::as_slice);
        let fields = values.iter().enumerate().map(|(at, value)| {
            let path = format!("{}[{at}]", self.path_of(name));
            match value {
                Value::Object(object) => Ok(Fields { path, object: Some(object) }),
                _ => Err(FieldError { path, reason: "is no object" }),
            }
        });
        fields.collect()
    }

    /// A duration, which the settings state in milliseconds, in microseconds.
    pub(crate) fn duration(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        let duration = |value: &Value| value.as_f64().filter(|ms| *ms >= 0.0).and_then(|_| micros(value));
        self.read(name, "is not a valid duration in milliseconds", duration)
    }

    /// A finite number of 0 or more.
    pub(crate) fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        let number = |value: &Value| value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        self.read(name, "is not a number of 0 or more", number)
    }

    /// An integer of 0 or more, which may be written with a fraction of zero, as in `3.0`.
    pub(crate) fn integer(&self, name: &str) -> Result<Option<u64>, FieldError> {
        let from_float =
            |value: &Value| value.as_f64().filter(|f| f.fract() == 0.0 && (0.0..1e15).contains(f));
        self.read(name, "is not an integer of 0 or more", |value| {
            value.as_u64().or_else(|| from_float(value).map(|number| number as u64))
        })
    }

    /// An integer of 0 or more. A value beyond 32 bits is replaced by [`u32::MAX`].
    pub(crate) fn integer_u32(&self, name: &str) -> Result<Option<u32>, FieldError> {
        Ok(self.integer(name)?.map(|number| u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// A boolean; false if the field is absent.
    pub(crate) fn boolean(&self, name: &str) -> Result<bool, FieldError> {
        Ok(self.read(name, "is neither true nor false", Value::as_bool)?.unwrap_or(false))
    }

    /// A string.
    pub(crate) fn text(&self, name: &str) -> Result<Option<&'a str>, FieldError> {
        self.read(name, "is not a string", Value::as_str)
    }

    /// The value that belongs to the field's keyword.
    pub(crate) fn keyword<T: Copy>(
        &self,
        name: &str,
        keywords: &[(&str, T)],
    ) -> Result<Option<T>, FieldError> {
        let known =
            |text: &str| keywords.iter().find(|(keyword, _)| *keyword == text).map(|(_, meaning)| *meaning);
        self.read(name, "is not one of the accepted keywords", |value| value.as_str().and_then(known))
    }
}
