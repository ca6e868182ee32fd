//! The ids of requests, which keep a request from being run twice.
//!
//! Clients use a new id for every request. A request with the id of an open one is not forwarded, because it
//! would interfere with the first one at the server. A request whose id may already have run on a server is not
//! forwarded either, unless running it twice is harmless: its first client may have disconnected, but the first
//! attempt goes on.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::{Entry, RandomState};
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an id that may have run is refused after its request and all attempts have ended.
const RETENTION_TIME: Duration = Duration::from_secs(60);
/// The maximum number of ids that may have run. Beyond it, the oldest one is forgotten early.
const MAX_RETAINED_IDS: usize = 16_384;

/// The reason why an id cannot be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// A request with this id is open, or one of its attempts is in flight.
    InUse,
    /// A request with this id may have run on a server.
    MayHaveRun,
}

/// The registry of ids that are in use or may have run.
#[derive(Clone, Default)]
pub struct RequestIds {
    registry: Rc<RefCell<Registry>>,
}

impl RequestIds {
    /// Claims an id until the returned claim is dropped, and for [`RETENTION_TIME`] after that if the request
    /// may have run.
    ///
    /// # Errors
    ///
    /// Returns an error if the id is claimed or may have run.
    pub fn claim(&self, id: &str) -> Result<RequestIdClaim, ClaimError> {
        let mut registry = self.registry.borrow_mut();
        registry.forget_expired();
        let fingerprint = registry.fingerprint(id);
        match registry.states.entry(fingerprint) {
            Entry::Occupied(occupied) => Err(*occupied.get()),
            Entry::Vacant(vacant) => {
                vacant.insert(ClaimError::InUse);
                Ok(RequestIdClaim {
                    registry: self.registry.clone(),
                    fingerprint,
                    may_have_run: Cell::new(false),
                })
            }
        }
    }
}

/// The claim of a request to its id.
pub struct RequestIdClaim {
    registry: Rc<RefCell<Registry>>,
    fingerprint: Fingerprint,
    may_have_run: Cell<bool>,
}

impl RequestIdClaim {
    /// Records that a server may have run the request.
    pub fn record_possible_run(&self) {
        self.may_have_run.set(true);
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        let mut registry = self.registry.borrow_mut();
        if self.may_have_run.get() {
            registry.retain(self.fingerprint);
        } else {
            registry.states.remove(&self.fingerprint);
        }
    }
}

/// Two independent hashes of an id. Ids are as long as clients choose; fingerprints have one size.
type Fingerprint = [u64; 2];

/// An id that may have run and whose claim has been dropped.
struct RetainedId {
    fingerprint: Fingerprint,
    retain_until: Instant,
}

#[derive(Default)]
struct Registry {
    hashers: [RandomState; 2],
    /// Why each known id cannot be claimed.
    states: HashMap<Fingerprint, ClaimError>,
    /// The ids without a claim, oldest first.
    retained: VecDeque<RetainedId>,
}

impl Registry {
    fn fingerprint(&self, id: &str) -> Fingerprint {
        self.hashers.each_ref().map(|hasher| hasher.hash_one(id))
    }

    fn retain(&mut self, fingerprint: Fingerprint) {
        if self.retained.len() >= MAX_RETAINED_IDS {
            self.forget_oldest();
        }
        self.states.insert(fingerprint, ClaimError::MayHaveRun);
        self.retained.push_back(RetainedId { fingerprint, retain_until: Instant::now() + RETENTION_TIME });
    }

    fn forget_expired(&mut self) {
        let now = Instant::now();
        while self.retained.front().is_some_and(|oldest| oldest.retain_until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.retained.pop_front() {
            self.states.remove(&oldest.fingerprint);
        }
    }
}

#[cfg(test)]
mod tests;
