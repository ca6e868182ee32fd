//! How many servers a choice compares.

use crate::policy::fleet::FleetView;

/// How many servers a choice compares, by view.
#[derive(Debug, Clone, Copy)]
pub struct SampleSize {
    /// Remembered servers (the paper's m).
    pub remembered: usize,
    /// Fresh draws (the paper's d; it asks for d >= m).
    pub draws: usize,
}

const DENSE: SampleSize = SampleSize { remembered: 1, draws: 3 };
/// More are remembered in a sparse view: a connection that stays open saves its server the work of a
/// handshake (docs/findings/fleet-handshakes.md).
const SPARSE: SampleSize = SampleSize { remembered: 6, draws: 6 };

/// The most candidates of one choice, in any view.
pub const MAX_CANDIDATES: usize = SPARSE.remembered + SPARSE.draws;

impl SampleSize {
    /// The sample size of a view.
    pub fn of(view: FleetView) -> Self {
        match view {
            FleetView::Dense => DENSE,
            FleetView::Sparse => SPARSE,
        }
    }
}
