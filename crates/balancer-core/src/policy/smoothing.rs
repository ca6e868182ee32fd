//! Statistics of recent values: exponential moving averages, decaying sums and the median.

use crate::{Span, Time};

/// Weight of a new value in an average of recent values, which covers about the last eight values.
const RECENT_GAIN: f64 = 0.12;
/// Weight of a new value that is lower than the typical value.
const TYPICAL_GAIN: f64 = 0.04;
/// Weight of a new value that is not lower than the typical value, as a fraction of [`TYPICAL_GAIN`].
const TYPICAL_RISE_FRACTION: f64 = 0.25;

/// Updates an exponential moving average of recent values with a new value.
pub fn update_recent_average(average: &mut f64, value: f64) {
    *average += RECENT_GAIN * (value - *average);
}

/// Updates a typical value with a new value.
///
/// A typical value changes more slowly than an average of recent values, and rises more slowly than it falls,
/// so that congestion is not mistaken for the typical state.
pub fn update_typical_value(typical: &mut f64, value: f64) {
    let gain = if value < *typical { TYPICAL_GAIN } else { TYPICAL_GAIN * TYPICAL_RISE_FRACTION };
    *typical += gain * (value - *typical);
}

/// A sum that decays exponentially with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    /// The sum at `updated_at`.
    sum: f64,
    /// Time constant of the decay, in milliseconds.
    decay_ms: f64,
    /// When the last amount was added.
    updated_at: Time,
}

impl DecayingSum {
    /// Returns the decayed sum at `now`.
    pub fn value_at(&self, now: Time) -> f64 {
        self.sum * decay_factor(now.since(self.updated_at), self.decay_ms.max(1.0))
    }

    /// Adds `amount` to the decayed sum, which then decays with a time constant of `decay_ms` milliseconds.
    pub fn add(&mut self, now: Time, decay_ms: f64, amount: f64) {
        *self = DecayingSum { sum: self.value_at(now) + amount, decay_ms, updated_at: now };
    }
}

/// Returns the factor of an exponential decay after `elapsed`, with a time constant of `decay_ms`
/// milliseconds.
pub fn decay_factor(elapsed: Span, decay_ms: f64) -> f64 {
    (-elapsed.as_millis_f64() / decay_ms).exp()
}

/// Returns the median of `values`, or `None` if there are no values. For an even number of values, the upper
/// of the two middle values is returned.
pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

#[cfg(test)]
mod tests;
