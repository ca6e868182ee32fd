//! The requests that are owed an answer, and their attempts.

use crate::request::{ClientRequest, FinalAnswer};
use crate::upstream::AttemptProgress;
use balancer_core::{AttemptNumber, RequestId};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Names an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// Its request.
    pub request: RequestId,
    /// Its number.
    pub attempt: AttemptNumber,
}

/// A request that is owed its answer.
struct OpenRequest {
    answer: oneshot::Sender<FinalAnswer>,
    request: Rc<ClientRequest>,
    attempts: u32,
    /// Its last attempt timed out.
    has_timed_out: bool,
}

/// An attempt that is about to start.
pub struct NewAttempt {
    /// Its name.
    pub key: AttemptKey,
    /// What is to be sent.
    pub request: Rc<ClientRequest>,
    /// How far it has come.
    pub progress: Rc<AttemptProgress>,
}

/// Open requests and the attempts that are in flight.
#[derive(Default)]
pub struct RequestTable {
    next_id: u64,
    open: HashMap<RequestId, OpenRequest>,
    attempts: HashMap<AttemptKey, Rc<AttemptProgress>>,
}

impl RequestTable {
    /// Takes in a request; its answer comes over the channel.
    pub fn open(&mut self, request: ClientRequest) -> (RequestId, oneshot::Receiver<FinalAnswer>) {
        let (answer, receiver) = oneshot::channel();
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = Rc::new(request);
        self.open.insert(id, OpenRequest { answer, request, attempts: 0, has_timed_out: false });
        (id, receiver)
    }

    /// Whether a request is still owed its answer.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    /// Whether a request's last attempt timed out.
    pub fn has_timed_out(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| open.has_timed_out)
    }

    /// Closes a request whose client has gone; false if it was closed already.
    pub fn disconnect(&mut self, id: RequestId) -> bool {
        let Some(open) = self.open.remove(&id) else { return false };
        self.cancel_unwritten(id, open.attempts);
        true
    }

    /// Gives a request its final answer.
    pub fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(open) = self.open.remove(&id) else { return };
        self.cancel_unwritten(id, open.attempts);
        // A client that left at this very moment hears nothing.
        let _ = open.answer.send(answer);
    }

    /// Of a closed request, what has not been written to a server stays unwritten. Attempts that are out
    /// completely go on, and their outcomes still count.
    fn cancel_unwritten(&self, request: RequestId, attempts: u32) {
        for attempt in (0..attempts).map(AttemptNumber) {
            let progress = self.attempts.get(&AttemptKey { request, attempt });
            if let Some(progress) = progress.filter(|progress| !progress.may_have_run()) {
                progress.cancel();
            }
        }
    }

    /// Starts the next attempt of a request, if it is open; `progress` is made only then.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        progress: impl FnOnce() -> AttemptProgress,
    ) -> Option<NewAttempt> {
        let open = self.open.get_mut(&id)?;
        let key = AttemptKey { request: id, attempt: AttemptNumber(open.attempts) };
        open.attempts += 1;
        let progress = Rc::new(progress());
        self.attempts.insert(key, progress.clone());
        Some(NewAttempt { key, request: open.request.clone(), progress })
    }

    /// Cancels an attempt, if it is in flight.
    pub fn cancel_attempt(&self, key: AttemptKey) {
        if let Some(progress) = self.attempts.get(&key) {
            progress.cancel();
        }
    }

    /// An attempt is over.
    pub fn end_attempt(&mut self, key: AttemptKey, has_timed_out: bool) {
        self.attempts.remove(&key);
        if let Some(open) = self.open.get_mut(&key.request) {
            open.has_timed_out = has_timed_out;
        }
    }
}
