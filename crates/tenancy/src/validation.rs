//! Which values are valid. Each error names its field, so that the response to a bad request says what to correct.

use serde_json::Value;

use crate::model::Spec;

/// Most characters of a tenant's name.
pub const MAX_NAME_LENGTH: usize = 63;
/// Most classes with limits of their own.
pub const MAX_CLASSES: usize = 64;
/// Most models that a tenant's rights may name.
pub const MAX_MODELS: usize = 10_000;
/// Most characters of a model's name.
pub const MAX_MODEL_LENGTH: usize = 256;
/// Most characters of a note.
pub const MAX_NOTE_LENGTH: usize = 1_000;
/// Highest rate that can be configured, calls a second.
pub const MAX_RATE: f64 = 1e7;
/// Highest weight; the lowest is its inverse.
pub const MAX_WEIGHT: f64 = 1_000.0;

/// An invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct FieldError {
    /// The path of the field: names and indexes from the outermost on, with dots between.
    pub field: String,
    /// What is wrong, and what would be valid.
    pub message: String,
}

impl FieldError {
    /// An error about a field.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self { field: field.into(), message: message.into() }
    }
}

/// Checks a tenant's name: a letter or digit, then letters, digits, `-`, `_` and `.`.
///
/// # Errors
/// Where it is no such name, or longer than [`MAX_NAME_LENGTH`].
pub fn name(name: &str) -> Result<(), FieldError> {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid_first = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    if valid_first && name.len() <= MAX_NAME_LENGTH && name.chars().all(valid) {
        return Ok(());
    }
    let what = format!("1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' and '.', a letter or digit first");
    Err(FieldError::new("name", what))
}

/// Reads what an administrator configures of a tenant.
///
/// # Errors
/// For an unknown field, a wrong type or a value out of bounds.
pub fn spec(value: Value) -> Result<Spec, FieldError> {
    let spec: Spec = serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        FieldError::new(if path == "." { "the body".to_owned() } else { path }, error.inner().to_string())
    })?;
    check(&spec)?;
    Ok(spec)
}

fn rate(field: &str, rate: Option<f64>, burst: Option<u32>) -> Result<(), FieldError> {
    if rate.is_some_and(|r| !(0.0..=MAX_RATE).contains(&r)) {
        return Err(FieldError::new(format!("{field}.rate_per_second"), format!("from 0 to {MAX_RATE}")));
    }
    if burst == Some(0) {
        return Err(FieldError::new(
            format!("{field}.burst"),
            "at least 1; a rate of 0 lets nothing through",
        ));
    }
    if burst.is_some() && rate.is_none() {
        return Err(FieldError::new(format!("{field}.burst"), "goes with rate_per_second"));
    }
    Ok(())
}

fn check(spec: &Spec) -> Result<(), FieldError> {
    rate("limits", spec.limits.rate_per_second, spec.limits.burst)?;
    if spec.limits.fleet_share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
        return Err(FieldError::new("limits.fleet_share", "above 0, at most 1"));
    }
    if spec.classes.len() > MAX_CLASSES {
        return Err(FieldError::new("classes", format!("at most {MAX_CLASSES}")));
    }
    for (class, limits) in &spec.classes {
        rate(&format!("classes.{class}"), limits.rate_per_second, limits.burst)?;
    }
    if spec.weight.is_some_and(|w| !(1.0 / MAX_WEIGHT..=MAX_WEIGHT).contains(&w)) {
        return Err(FieldError::new("weight", format!("from {} to {MAX_WEIGHT}", 1.0 / MAX_WEIGHT)));
    }
    if spec.note.chars().count() > MAX_NOTE_LENGTH {
        return Err(FieldError::new("note", format!("at most {MAX_NOTE_LENGTH} characters")));
    }
    let models = spec.models.as_deref().unwrap_or_default();
    if models.len() > MAX_MODELS {
        return Err(FieldError::new("models", format!("at most {MAX_MODELS}")));
    }
    for (index, model) in models.iter().enumerate() {
        let inner_star = model.strip_suffix('*').unwrap_or(model).contains('*');
        if model.is_empty()
            || model.len() > MAX_MODEL_LENGTH
            || inner_star
            || model.contains(char::is_control)
        {
            let what = format!("1 to {MAX_MODEL_LENGTH} characters, with * at the end alone");
            return Err(FieldError::new(format!("models[{index}]"), what));
        }
    }
    Ok(())
}
