//! Statistics of recent values: moving averages, decaying sums and the median.

use crate::{Span, Time};

/// Weight of a new value in an average of recent ones: about the last eight count.
const RECENT_GAIN: f64 = 0.12;
/// Weight of a new value in what is typical.
const TYPICAL_GAIN: f64 = 0.04;
/// Part of that weight that a higher value gets.
const TYPICAL_RISE_PART: f64 = 0.25;

/// Moves an average of recent values towards a new one.
pub fn update_recent_average(average: &mut f64, value: f64) {
    *average += RECENT_GAIN * (value - *average);
}

/// Moves what is typical towards a new value, more slowly, and most slowly upwards: congestion must not be
/// mistaken for the usual state.
pub fn update_typical(typical: &mut f64, value: f64) {
    let gain = if value < *typical { TYPICAL_GAIN } else { TYPICAL_GAIN * TYPICAL_RISE_PART };
    *typical += gain * (value - *typical);
}

/// A sum whose parts decay exponentially with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    sum: f64,
    decay_ms: f64,
    updated_at: Time,
}

impl DecayingSum {
    /// What is left of the sum at `now`.
    pub fn value_at(&self, now: Time) -> f64 {
        self.sum * decay_factor(now.since(self.updated_at), self.decay_ms.max(1.0))
    }

    /// Adds `part`; from now on the sum decays over `decay_ms` milliseconds.
    pub fn add(&mut self, now: Time, decay_ms: f64, part: f64) {
        *self = DecayingSum { sum: self.value_at(now) + part, decay_ms, updated_at: now };
    }
}

/// What exponential decay over `decay_ms` milliseconds leaves of 1 after `elapsed`.
pub fn decay_factor(elapsed: Span, decay_ms: f64) -> f64 {
    (-elapsed.as_millis_f64() / decay_ms).exp()
}

/// The upper median of some values; `None` if there are no values.
pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

#[cfg(test)]
mod tests;
