//! Validation of the settings.

use super::Settings;
use crate::time::Span;

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is missing or out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for class in &self.classes {
            if class.latency_objective == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "aim" });
            }
            if class.timeout == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "deadline" });
            }
        }
        let numbers = [("cold_share", self.initial_capacity), ("overload_factor", self.overload_factor)];
        let weights = self.classes.iter().map(|class| ("worth", class.priority_weight));
        for (setting, value) in numbers.into_iter().chain(weights) {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::InvalidNumber { setting, value });
            }
        }
        Ok(())
    }
}

/// The reason why settings are invalid. The messages name the settings as the operators' documentation does.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The settings contain no request class.
    #[error("settings name no request class; at least one is needed")]
    NoClasses,
    /// A number is negative, infinite or NaN.
    #[error("setting {setting} is {value}; a finite number of zero or more is needed")]
    InvalidNumber {
        /// The name of the setting.
        setting: &'static str,
        /// The invalid value.
        value: f64,
    },
    /// A duration is zero.
    #[error("setting {setting} is zero; it must be longer")]
    ZeroSpan {
        /// The name of the setting.
        setting: &'static str,
    },
    /// The settings allow no attempt for a request.
    #[error("settings allow no attempt for a request; at least one is needed")]
    NoAttempts,
}
