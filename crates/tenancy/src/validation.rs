//! Validation of configured values. Each error names its field, so that an API client learns what to correct.

use serde_json::Value;

use crate::model::Spec;

/// Maximum length of a tenant's name in characters.
pub const MAX_NAME_LENGTH: usize = 63;
/// Maximum number of classes for which a tenant has limits.
pub const MAX_CLASSES: usize = 64;
/// Maximum number of names and prefixes in a tenant's list of models.
pub const MAX_MODELS: usize = 10_000;
/// Maximum length of a model's name or prefix in bytes.
pub const MAX_MODEL_LENGTH: usize = 256;
/// Maximum length of a note in characters.
pub const MAX_NOTE_LENGTH: usize = 1_000;
/// Maximum rate in calls per second.
pub const MAX_RATE: f64 = 1e7;
/// Maximum weight. The minimum is its reciprocal.
pub const MAX_WEIGHT: f64 = 1_000.0;

/// A field with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct FieldError {
    /// Path of the field from the outermost object, such as `limits.burst` or `models[2]`.
    pub field: String,
    /// Which values are valid, or why this one is not.
    pub message: String,
}

impl FieldError {
    /// Creates an error for the field at this path.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self { field: field.into(), message: message.into() }
    }
}

/// Validates the name of a tenant: an ASCII letter or digit, followed by ASCII letters, digits, `-`, `_` and `.`.
///
/// # Errors
/// Returns an error if the name has another form or is longer than [`MAX_NAME_LENGTH`].
pub fn validate_name(name: &str) -> Result<(), FieldError> {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid_first = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    if valid_first && name.len() <= MAX_NAME_LENGTH && name.chars().all(valid) {
        return Ok(());
    }
    let expected =
        format!("1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' and '.', a letter or digit first");
    Err(FieldError::new("name", expected))
}

/// Deserializes and validates the configuration of a tenant.
///
/// # Errors
/// Returns an error for an unknown field, a wrong type or a value out of bounds.
pub fn parse_spec(value: Value) -> Result<Spec, FieldError> {
    let spec: Spec = serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        FieldError::new(if path == "." { "the body".to_owned() } else { path }, error.inner().to_string())
    })?;
    check_spec(&spec)?;
    Ok(spec)
}

fn check_rate(field: &str, rate: Option<f64>, burst: Option<u32>) -> Result<(), FieldError> {
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

fn check_spec(spec: &Spec) -> Result<(), FieldError> {
    check_rate("limits", spec.limits.rate_per_second, spec.limits.burst)?;
    if spec.limits.fleet_share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
        return Err(FieldError::new("limits.fleet_share", "above 0, at most 1"));
    }
    if spec.classes.len() > MAX_CLASSES {
        return Err(FieldError::new("classes", format!("at most {MAX_CLASSES}")));
    }
    for (class, limits) in &spec.classes {
        check_rate(&format!("classes.{class}"), limits.rate_per_second, limits.burst)?;
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
            let expected = format!("1 to {MAX_MODEL_LENGTH} characters, with * at the end alone");
            return Err(FieldError::new(format!("models[{index}]"), expected));
        }
    }
    Ok(())
}
