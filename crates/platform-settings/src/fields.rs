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
    /// What is wrong with the field, as the part of the error message after the path.
    pub reason: &'static str,
}

/// A JSON object, which may be absent, and the path that leads to it.
pub(crate) struct Fields<'a> {
    /// Path of the object. It is empty for the outermost object.
    path: String,
    /// Fields of the object. `None` if the object is absent, in which case all its fields count as absent.
    object: Option<&'a Map<String, Value>>,
}

impl<'a> Fields<'a> {
    /// Returns the outermost object of the settings, or an error if `value` is not an object.
    pub(crate) fn outermost(value: &'a Value) -> Result<Self, FieldError> {
        match value {
            Value::Object(object) => Ok(Self { path: String::new(), object: Some(object) }),
            _ => Err(FieldError { path: "settings".to_owned(), reason: "is not an object" }),
        }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Creates the error for an invalid field of this object.
    pub(crate) fn error(&self, name: &str, reason: &'static str) -> FieldError {
        FieldError { path: self.path_of(name), reason }
    }

    /// Creates the error for a missing field of this object.
    pub(crate) fn missing(&self, name: &str) -> FieldError {
        self.error(name, "is missing")
    }

    fn value(&self, name: &str) -> Option<&'a Value> {
        self.object?.get(name).filter(|value| !value.is_null())
    }

    /// Returns the result of `convert` for a field, or `None` if the field is absent. If `convert` returns `None`, the
    /// field is invalid and the error has this reason.
    fn convert<T>(
        &self,
        name: &str,
        reason: &'static str,
        convert: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, FieldError> {
        match self.value(name) {
            Some(value) => convert(value).map(Some).ok_or_else(|| self.error(name, reason)),
            None => Ok(None),
        }
    }

    /// Returns a nested object. If it is absent, all its fields count as absent.
    pub(crate) fn object(&self, name: &str) -> Result<Fields<'a>, FieldError> {
        let object = self.convert(name, "is not an object", Value::as_object)?;
        Ok(Fields { path: self.path_of(name), object })
    }

    /// Returns the objects of a list. The result is empty if the list is absent.
    pub(crate) fn list(&self, name: &str) -> Result<Vec<Fields<'a>>, FieldError> {
        let values = self.convert(name, "is not a list", Value::as_array)?.map_or(&[][..], Vec::as_slice);
        let fields = values.iter().enumerate().map(|(index, value)| {
            let path = format!("{}[{index}]", self.path_of(name));
            match value {
                Value::Object(object) => Ok(Fields { path, object: Some(object) }),
                _ => Err(FieldError { path, reason: "is not an object" }),
            }
        });
        fields.collect()
    }

    /// Returns a duration in microseconds, which the settings state in milliseconds, or `None` if it is absent.
    pub(crate) fn duration(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        let duration = |value: &Value| value.as_f64().filter(|ms| *ms >= 0.0).and_then(|_| micros(value));
        self.convert(name, "is not a valid duration in milliseconds", duration)
    }

    /// Returns a finite number of 0 or more, or `None` if it is absent.
    pub(crate) fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        let number = |value: &Value| value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        self.convert(name, "is not a number of 0 or more", number)
    }

    /// Returns an integer of 0 or more, or `None` if it is absent. It may be written with a fraction of zero, as in
    /// `3.0`.
    pub(crate) fn integer(&self, name: &str) -> Result<Option<u64>, FieldError> {
        let from_float = |value: &Value| {
            value.as_f64().filter(|number| number.fract() == 0.0 && (0.0..1e15).contains(number))
        };
        self.convert(name, "is not an integer of 0 or more", |value| {
            value.as_u64().or_else(|| from_float(value).map(|number| number as u64))
        })
    }

    /// Returns an integer of 0 or more, or `None` if it is absent. A value beyond 32 bits is replaced by [`u32::MAX`].
    pub(crate) fn integer_u32(&self, name: &str) -> Result<Option<u32>, FieldError> {
        Ok(self.integer(name)?.map(|number| u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// Returns a boolean, which is false if the field is absent.
    pub(crate) fn boolean(&self, name: &str) -> Result<bool, FieldError> {
        Ok(self.convert(name, "is neither true nor false", Value::as_bool)?.unwrap_or(false))
    }

    /// Returns a string, or `None` if the field is absent.
    pub(crate) fn text(&self, name: &str) -> Result<Option<&'a str>, FieldError> {
        self.convert(name, "is not a string", Value::as_str)
    }

    /// Returns the value that `keywords` assigns to the field's text, or `None` if the field is absent. Any other text
    /// is an error.
    pub(crate) fn keyword<T: Copy>(
        &self,
        name: &str,
        keywords: &[(&str, T)],
    ) -> Result<Option<T>, FieldError> {
        let value_of =
            |text: &str| keywords.iter().find(|(keyword, _)| *keyword == text).map(|(_, value)| *value);
        self.convert(name, "is not one of the accepted keywords", |value| value.as_str().and_then(value_of))
    }
}
