//! How many servers are compared for each request.

use crate::policy::fleet::FleetView;

/// The number of servers that are compared for each request.
#[derive(Debug, Clone, Copy)]
pub struct SampleSize {
    /// Maximum number of remembered servers: m in the (d, m) policy.
    pub remembered: usize,
    /// Number of servers drawn uniformly at random: d in the (d, m) policy, which must not be below m.
    pub draws: usize,
}

/// The sample size in a dense view.
const DENSE_SAMPLE_SIZE: SampleSize = SampleSize { remembered: 1, draws: 3 };
/// The sample size in a sparse view. More servers are remembered than in a dense view: each connection that
/// stays open saves its server the work of a handshake (docs/findings/fleet-handshakes.md).
const SPARSE_SAMPLE_SIZE: SampleSize = SampleSize { remembered: 6, draws: 6 };

/// The largest number of drawn and remembered candidates for one request, in any view. The last server of the
/// request's routing key may come in addition.
pub const MAX_CANDIDATES: usize = SPARSE_SAMPLE_SIZE.remembered + SPARSE_SAMPLE_SIZE.draws;

impl SampleSize {
    /// Returns the sample size for a view.
    pub fn of(view: FleetView) -> Self {
        match view {
            FleetView::Dense => DENSE_SAMPLE_SIZE,
            FleetView::Sparse => SPARSE_SAMPLE_SIZE,
        }
    }
}
