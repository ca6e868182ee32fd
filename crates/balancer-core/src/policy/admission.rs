//! Admission control: the probability with which requests are admitted, adapted to the fleet's latencies.
//!
//! In a dense view the admission probability scales the concurrency limits of all servers. A balancer has few
//! attempts at each server but many at the whole fleet, so the admission probability reacts to an overload of
//! most servers within a few round trips. The limits of single servers would need half a minute to react.
//!
//! In a sparse view limits per server have no effect, and requests are admitted at random with the admission
//! probability.

use super::concurrency::TARGET_RATIO;
use super::fleet::FleetView;
use super::shedding::{LoadShedder, ShedOrder};
use crate::units::{LatencyRatio, Probability};

/// Latency ratio from which an attempt is slow.
///
/// At this ratio a server holds several requests per core, and it becomes even slower if this state lasts.
/// Counting only late attempts would detect an overload too late (docs/findings/fleet-jams.md).
pub const SLOW_RATIO: LatencyRatio = LatencyRatio::new(2.0 * TARGET_RATIO.value());
/// Fraction of the probability that is lost in a round trip of slow attempts.
const DECREASE_FRACTION: f64 = 0.6;
/// Fraction of the probability's square root that is gained in a round trip of attempts that are not slow.
///
/// The square root lets low probabilities recover quickly. With `DECREASE_FRACTION`, a probability near 1
/// stays constant if a quarter of the attempts are slow.
const INCREASE_FRACTION: f64 = 0.2;
/// Minimum number of attempts that count as one round trip in a sparse view. With fewer, a single slow
/// attempt could stop the balancer from sending requests.
const MIN_SPARSE_ROUND_TRIP_ATTEMPTS: usize = 4;
/// Lowest probability in a sparse view. Without some admitted requests the balancer would not detect the end
/// of an overload.
const MIN_SPARSE_PROBABILITY: f64 = 0.02;
/// Lower bound of the admission probability of classes that are shed first, as a fraction of the probability
/// for all classes together. The bound prevents the starvation of a class (docs/findings/fleet-shares.md).
const MIN_CLASS_FRACTION: f64 = 0.5;

/// The admission probability, and the state of the fleet that it depends on.
pub struct AdmissionControl {
    /// The admission probability for all classes together.
    probability: f64,
    /// The view, which decides how requests are admitted and how the probability is adjusted.
    view: FleetView,
    /// Number of balancers that share the fleet.
    balancer_count: u32,
    /// Capacity of the serving fleet, in units of the capacity of a warm server; 0 until it is known.
    fleet_capacity: f64,
}

/// Bounds of the adjustment of the probability, which depend on the view.
struct AdjustmentBounds {
    /// Minimum number of attempts that count as one round trip.
    min_round_trip_attempts: usize,
    /// Lowest probability.
    min_probability: f64,
}

impl AdmissionControl {
    /// Creates an admission control that admits all requests. `balancer_count` balancers share the fleet.
    pub fn new(balancer_count: u32) -> Self {
        AdmissionControl { probability: 1.0, view: FleetView::Dense, balancer_count, fleet_capacity: 0.0 }
    }

    /// Sets the view, which decides whether requests are admitted at random.
    pub fn set_view(&mut self, view: FleetView) {
        self.view = view;
    }

    /// Returns the admission probability for all classes together.
    pub fn probability(&self) -> Probability {
        Probability::new(self.probability)
    }

    /// Adjusts the probability by the latency ratio of an attempt that has ended or has just become slow.
    ///
    /// `in_flight` is the number of attempts that have not ended. The change is divided by the number of
    /// attempts in a round trip, which is estimated as `in_flight + 1` and has a lower bound in a sparse
    /// view.
    pub fn record(&mut self, ratio: LatencyRatio, in_flight: usize) {
        let bounds = self.adjustment_bounds();
        let round_trip_attempts = bounds.min_round_trip_attempts.max(in_flight + 1);
        let is_slow = ratio >= SLOW_RATIO;
        let step = if is_slow {
            -DECREASE_FRACTION * self.probability
        } else {
            INCREASE_FRACTION * self.probability.sqrt()
        };
        self.probability =
            (self.probability + step / round_trip_attempts as f64).clamp(bounds.min_probability, 1.0);
    }

    /// Returns the bounds for the current view.
    fn adjustment_bounds(&self) -> AdjustmentBounds {
        match self.view {
            FleetView::Dense => AdjustmentBounds {
                min_round_trip_attempts: 1,
                min_probability: 1.0 / f64::from(self.balancer_count.max(1)),
            },
            FleetView::Sparse => AdjustmentBounds {
                min_round_trip_attempts: MIN_SPARSE_ROUND_TRIP_ATTEMPTS,
                min_probability: MIN_SPARSE_PROBABILITY,
            },
        }
    }

    /// Updates the capacity of the serving fleet, in units of the capacity of a warm server.
    ///
    /// In a sparse view the probability changes in proportion to the capacity: the endpoint list shows that
    /// the fleet has shrunk before any server is slow, and a fleet that warms up can serve more
    /// (docs/findings/fleet-join.md).
    ///
    /// A capacity of zero, from an empty endpoint list, is ignored, because it does not predict the capacity
    /// of the next list.
    pub fn update_capacity(&mut self, capacity: f64) {
        if capacity <= 0.0 {
            return;
        }
        if self.view == FleetView::Sparse && self.fleet_capacity > 0.0 {
            let scaled = self.probability * capacity / self.fleet_capacity;
            self.probability = scaled.clamp(MIN_SPARSE_PROBABILITY, 1.0);
        }
        self.fleet_capacity = capacity;
    }

    /// Decides whether a request of this shed order is admitted.
    ///
    /// In a dense view all requests are admitted here, because the concurrency limits of the servers bound
    /// the load.
    pub fn admits(&self, order: ShedOrder, shedder: &LoadShedder, rng: &mut fastrand::Rng) -> bool {
        match self.view {
            FleetView::Dense => true,
            FleetView::Sparse => rng.f64() < self.probability_for(order, shedder.shed_first_fraction()),
        }
    }

    /// Returns the admission probability for requests of this shed order, where `shed_first_fraction` of the
    /// traffic is shed first.
    ///
    /// Requests that are shed first get a lower probability, and the others a higher one, so that the
    /// probability for all requests together stays the same.
    fn probability_for(&self, order: ShedOrder, shed_first_fraction: f64) -> f64 {
        if shed_first_fraction <= 0.0 || shed_first_fraction >= 1.0 {
            return self.probability;
        }
        let min_first = MIN_CLASS_FRACTION * self.probability;
        let first = min_first.max((self.probability - (1.0 - shed_first_fraction)) / shed_first_fraction);
        match order {
            ShedOrder::First => first,
            ShedOrder::Last => (self.probability - shed_first_fraction * first) / (1.0 - shed_first_fraction),
        }
    }
}

#[cfg(test)]
mod tests;
