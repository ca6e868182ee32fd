//! Moments and durations, in whole microseconds.

use std::ops::{Add, Mul, Sub};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A moment on the host's clock, in microseconds since an epoch that the host chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(u64);

/// A duration in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(u64);

impl Time {
    /// The moment from which all times are counted.
    pub const EPOCH: Time = Time(0);

    /// Returns the moment `micros` microseconds after the epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// Returns the moment `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Time(Span::from_millis(millis).0)
    }

    /// Returns the moment `millis` milliseconds after the epoch, rounded to whole microseconds. A negative
    /// value or NaN gives the epoch.
    pub fn from_millis_f64(millis: f64) -> Self {
        Time(Span::from_millis_f64(millis).0)
    }

    /// Returns the number of microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the number of milliseconds since the epoch.
    pub fn as_millis_f64(self) -> f64 {
        Span(self.0).as_millis_f64()
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A duration of zero.
    pub const ZERO: Span = Span(0);

    /// Creates a duration of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Span(micros)
    }

    /// Creates a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Span(millis * MICROS_PER_MILLI)
    }

    /// Creates a duration of `seconds` seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Span(seconds * MICROS_PER_SECOND)
    }

    /// Creates a duration of `millis` milliseconds, rounded to whole microseconds. A negative value or NaN
    /// gives zero.
    pub fn from_millis_f64(millis: f64) -> Self {
        Span((millis * MICROS_PER_MILLI as f64).round() as u64)
    }

    /// Returns the duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration in milliseconds.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_MILLI as f64
    }

    /// Returns this duration minus `other`, or zero if `other` is longer.
    #[must_use]
    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    /// Returns the moment `span` after this one, but at most the latest moment that can be represented.
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    /// Returns the moment `span` before this one, but not a moment before the epoch.
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;

    /// Returns the duration multiplied by `factor` and rounded to whole microseconds. A negative factor or
    /// NaN gives zero.
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as u64)
    }
}
