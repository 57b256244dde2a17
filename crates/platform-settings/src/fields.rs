//! Fields of a JSON object by name: absent (or null), what they must be, or a fault that names them by their path.

use nettleferry::Micros;
use serde_json::{Map, Value};

use crate::micros;

/// A setting that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {path} {why}")]
pub struct SettingsFault {
    /// Where it stands, as in `classes[1].deadline_ms`.
    pub path: String,
    /// What is wrong with it.
    pub why: &'static str,
}

/// An object's fields, and the path that leads to it.
pub(crate) struct Fields<'a> {
    path: String,
    /// `None`: the object is absent, and so are all its fields.
    object: Option<&'a Map<String, Value>>,
}

impl<'a> Fields<'a> {
    /// Those of the outermost object.
    pub(crate) fn of(value: &'a Value) -> Result<Self, SettingsFault> {
        match value {
            Value::Object(object) => Ok(Self { path: String::new(), object: Some(object) }),
            _ => Err(SettingsFault { path: "settings".to_owned(), why: "is no object" }),
        }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// What is wrong with a field.
    pub(crate) fn fault(&self, name: &str, why: &'static str) -> SettingsFault {
        SettingsFault { path: self.path_of(name), why }
    }

    /// A field that has to be there is not.
    pub(crate) fn missing(&self, name: &str) -> SettingsFault {
        self.fault(name, "is missing")
    }

    fn value(&self, name: &str) -> Option<&'a Value> {
        self.object?.get(name).filter(|value| !value.is_null())
    }

    /// A field as `read` takes it; `why`: what it is where it does not.
    fn read<T>(
        &self,
        name: &str,
        why: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, SettingsFault> {
        match self.value(name) {
            Some(value) => read(value).map(Some).ok_or_else(|| self.fault(name, why)),
            None => Ok(None),
        }
    }

    /// An object within this one.
    pub(crate) fn object(&self, name: &str) -> Result<Fields<'a>, SettingsFault> {
        let object = self.read(name, "is no object", Value::as_object)?;
        Ok(Fields { path: self.path_of(name), object })
    }

    /// A list of objects; absent: an empty one.
    pub(crate) fn list(&self, name: &str) -> Result<Vec<Fields<'a>>, SettingsFault> {
        let values = self.read(name, "is no list", Value::as_array)?.map_or(&[][..], Vec::as_slice);
        let fields = values.iter().enumerate().map(|(at, value)| {
            let path = format!("{}[{at}]", self.path_of(name));
            match value {
                Value::Object(object) => Ok(Fields { path, object: Some(object) }),
                _ => Err(SettingsFault { path, why: "is no object" }),
            }
        });
        fields.collect()
    }

    /// A time told in milliseconds.
    pub(crate) fn span(&self, name: &str) -> Result<Option<Micros>, SettingsFault> {
        let time = |value: &Value| value.as_f64().filter(|ms| *ms >= 0.0).and_then(|_| micros(value));
        self.read(name, "is no time in milliseconds", time)
    }

    /// A figure of 0 or more.
    pub(crate) fn real(&self, name: &str) -> Result<Option<f64>, SettingsFault> {
        let figure = |value: &Value| value.as_f64().filter(|figure| figure.is_finite() && *figure >= 0.0);
        self.read(name, "is no figure of 0 or more", figure)
    }

    /// A whole number of 0 or more, however it is written.
    pub(crate) fn whole(&self, name: &str) -> Result<Option<u64>, SettingsFault> {
        let written = |value: &Value| value.as_f64().filter(|f| f.fract() == 0.0 && (0.0..1e15).contains(f));
        self.read(name, "is no whole number of 0 or more", |value| {
            value.as_u64().or_else(|| written(value).map(|figure| figure as u64))
        })
    }

    /// A whole number, no more than 32 bits hold.
    pub(crate) fn small(&self, name: &str) -> Result<Option<u32>, SettingsFault> {
        Ok(self.whole(name)?.map(|number| u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// Yes or no; absent: no.
    pub(crate) fn yes(&self, name: &str) -> Result<bool, SettingsFault> {
        Ok(self.read(name, "is neither true nor false", Value::as_bool)?.unwrap_or(false))
    }

    /// A text.
    pub(crate) fn text(&self, name: &str) -> Result<Option<&'a str>, SettingsFault> {
        self.read(name, "is no text", Value::as_str)
    }

    /// One of some words.
    pub(crate) fn word<T: Copy>(&self, name: &str, words: &[(&str, T)]) -> Result<Option<T>, SettingsFault> {
        let known = |word: &str| words.iter().find(|(known, _)| *known == word).map(|(_, meaning)| *meaning);
        self.read(name, "is none of the words that it may be", |value| value.as_str().and_then(known))
    }
}
