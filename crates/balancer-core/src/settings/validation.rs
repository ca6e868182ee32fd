//! Which settings a balancer can work with.

use super::Settings;
use crate::time::Span;

impl Settings {
    /// Rejects settings that no balancer can work with.
    ///
    /// # Errors
    ///
    /// The first setting that is missing or out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
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
            if class.deadline == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "deadline" });
            }
        }
        let numbers = [("cold_share", self.initial_capacity), ("overload_factor", self.overload_factor)];
        let weights = self.classes.iter().map(|class| ("worth", class.priority_weight));
        for (setting, value) in numbers.into_iter().chain(weights) {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::BadNumber { setting, value });
            }
        }
        Ok(())
    }
}

/// Settings that no balancer can work with. Messages name the settings as the operators' pages do.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There must be at least one class.
    #[error("settings name no request class; at least one is needed")]
    NoClasses,
    /// A number that must be finite and not negative is not.
    #[error("setting {setting} is {value}; a finite number of zero or more is needed")]
    BadNumber {
        /// Which setting.
        setting: &'static str,
        /// What it was.
        value: f64,
    },
    /// A length of time that must be above zero is zero.
    #[error("setting {setting} is zero; it must be longer")]
    ZeroSpan {
        /// Which setting.
        setting: &'static str,
    },
    /// A request needs at least one attempt.
    #[error("settings allow no attempt for a request; at least one is needed")]
    NoAttempts,
}
