//! The attempts in flight.

use crate::upstream::AttemptProgress;
use balancer_core::{AttemptId, AttemptNumber, RequestId};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The progress of the attempts in flight. Attempts of closed requests are included, because the balancer
/// needs their outcomes as well.
#[derive(Default)]
pub struct AttemptsInFlight {
    progress: HashMap<AttemptId, Rc<AttemptProgress>>,
}

impl AttemptsInFlight {
    /// Adds an attempt and returns its progress. If `write_by` is set, it is the deadline for writing the
    /// last byte of the attempt.
    pub fn start(&mut self, id: AttemptId, write_by: Option<Instant>) -> Rc<AttemptProgress> {
        let progress = Rc::new(AttemptProgress::new(write_by));
        self.progress.insert(id, progress.clone());
        progress
    }

    /// Cancels an attempt if it is in flight.
    pub fn cancel(&self, id: AttemptId) {
        if let Some(progress) = self.progress.get(&id) {
            progress.cancel();
        }
    }

    /// Cancels the attempts of a request that have not been written completely. No server can have run these
    /// attempts. The other attempts continue. `attempts_started` is the number of attempts that have been
    /// started for the request.
    pub fn cancel_unwritten(&self, request: RequestId, attempts_started: u32) {
        for attempt in (0..attempts_started).map(AttemptNumber) {
            let progress = self.progress.get(&AttemptId { request, attempt });
            if let Some(progress) = progress.filter(|progress| !progress.may_have_run()) {
                progress.cancel();
            }
        }
    }

    /// Returns the attempts whose responses have made progress since the last call.
    pub fn take_response_progress(&self) -> Vec<AttemptId> {
        let progressed = self.progress.iter().filter(|(_, progress)| progress.take_response_progress());
        progressed.map(|(id, _)| *id).collect()
    }

    /// Removes an attempt that has ended.
    pub fn end(&mut self, id: AttemptId) {
        self.progress.remove(&id);
    }
}
