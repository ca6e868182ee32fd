//! The attempts that are in flight.

use crate::upstream::AttemptProgress;
use balancer_core::{AttemptNumber, RequestId};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Identifies an attempt among those that the driver has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its number among the attempts of the request.
    pub attempt: AttemptNumber,
}

/// The progress of each attempt whose outcome is not known yet. The attempts of a closed request are among
/// them: their outcomes still matter to the balancer.
#[derive(Default)]
pub struct AttemptsInFlight {
    progress: HashMap<AttemptId, Rc<AttemptProgress>>,
}

impl AttemptsInFlight {
    /// Adds an attempt, whose last byte must be written by `write_by` if that is set.
    pub fn start(&mut self, id: AttemptId, write_by: Option<Instant>) -> Rc<AttemptProgress> {
        let progress = Rc::new(AttemptProgress::new(write_by));
        self.progress.insert(id, progress.clone());
        progress
    }

    /// Cancels an attempt, if it is in flight.
    pub fn cancel(&self, id: AttemptId) {
        if let Some(progress) = self.progress.get(&id) {
            progress.cancel();
        }
    }

    /// Cancels those of a request's first `attempts` attempts that have not been written completely, and so
    /// have not run. The others go on.
    pub fn cancel_unwritten(&self, request: RequestId, attempts: u32) {
        for attempt in (0..attempts).map(AttemptNumber) {
            let progress = self.progress.get(&AttemptId { request, attempt });
            if let Some(progress) = progress.filter(|progress| !progress.may_have_run()) {
                progress.cancel();
            }
        }
    }

    /// Removes an attempt that has ended.
    pub fn end(&mut self, id: AttemptId) {
        self.progress.remove(&id);
    }
}
