//! Injected faults that can be changed at run time.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::server::CallError;

/// The faults of one stand-in.
pub trait FaultSettings: Serialize + DeserializeOwned {
    /// Checks the ranges of the fields.
    ///
    /// # Errors
    ///
    /// Names the field that is out of range.
    fn check(&self) -> Result<(), String>;
}

/// Applies a JSON merge patch: absent fields keep their value, `null` restores the default.
///
/// # Errors
///
/// Fails with status 400 when the patch is no JSON object, has an unknown field or a value out of
/// range; nothing is changed then.
pub fn patch_settings<T: FaultSettings>(current: &T, patch: &[u8]) -> Result<T, CallError> {
    let patch: Value = serde_json::from_slice(patch).map_err(CallError::malformed)?;
    let Value::Object(fields) = patch else {
        return Err(CallError::bad_request("the behaviour is not a JSON object"));
    };
    let mut merged = serde_json::to_value(current).map_err(CallError::malformed)?;
    for (name, value) in fields {
        let Some(object) = merged.as_object_mut() else {
            return Err(CallError::bad_request("the behaviour is not a JSON object"));
        };
        if value.is_null() {
            object.remove(&name);
        } else {
            object.insert(name, value);
        }
    }
    let settings: T = serde_json::from_value(merged).map_err(CallError::malformed)?;
    settings.check().map_err(CallError::bad_request)?;
    Ok(settings)
}

/// Checks that a ratio lies within 0 and 1.
///
/// # Errors
///
/// Names the field.
pub fn check_ratio(name: &str, ratio: f64) -> Result<(), String> {
    if (0.0..=1.0).contains(&ratio) {
        return Ok(());
    }
    Err(format!("{name} must lie within 0 and 1"))
}

/// Checks that a factor is a finite number above 0.
///
/// # Errors
///
/// Names the field.
pub fn check_factor(name: &str, factor: f64) -> Result<(), String> {
    if factor.is_finite() && factor > 0.0 {
        return Ok(());
    }
    Err(format!("{name} must be above 0"))
}
