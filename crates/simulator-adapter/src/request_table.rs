//! The requests of one instance: their ids on the wire and their numbers in the balancer.

use balancer_core::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// Ended requests are forgotten once this many requests are held, so that looking through all of them costs
/// little for each request.
const SWEEP_THRESHOLD: usize = 1024;

/// A request that may still be referred to.
#[derive(Debug)]
struct RequestRecord {
    id: RequestId,
    attempts_in_flight: u32,
    is_ended: bool,
}

impl RequestRecord {
    fn is_awaited(&self) -> bool {
        !self.is_ended || self.attempts_in_flight > 0
    }
}

/// All requests of one instance that may still be referred to. "Wire id" is the id that the simulator gave.
#[derive(Debug, Default)]
pub struct RequestTable {
    records: HashMap<Rc<str>, RequestRecord>,
    wire_ids: HashMap<RequestId, Rc<str>>,
    next_id: u64,
}

impl RequestTable {
    /// Takes in a new request and numbers it; `None` if there is one with this wire id already.
    pub fn insert(&mut self, wire_id: &str) -> Option<RequestId> {
        if self.records.contains_key(wire_id) {
            return None;
        }
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let wire_id: Rc<str> = Rc::from(wire_id);
        let record = RequestRecord { id, attempts_in_flight: 0, is_ended: false };
        self.records.insert(Rc::clone(&wire_id), record);
        self.wire_ids.insert(id, wire_id);
        Some(id)
    }

    /// The number of a request.
    pub fn find(&self, wire_id: &str) -> Option<RequestId> {
        self.records.get(wire_id).map(|record| record.id)
    }

    /// The wire id of a request.
    pub fn wire_id(&self, id: RequestId) -> Option<&Rc<str>> {
        self.wire_ids.get(&id)
    }

    /// Counts an attempt that is sent, and returns the wire id.
    pub fn start_attempt(&mut self, id: RequestId) -> Option<&Rc<str>> {
        let wire_id = self.wire_ids.get(&id)?;
        self.records.get_mut(wire_id)?.attempts_in_flight += 1;
        Some(wire_id)
    }

    /// Counts an attempt that is over, and returns the request's number.
    pub fn end_attempt(&mut self, wire_id: &str, is_request_finished: bool) -> Option<RequestId> {
        let record = self.records.get_mut(wire_id)?;
        record.attempts_in_flight = record.attempts_in_flight.saturating_sub(1);
        record.is_ended |= is_request_finished;
        Some(record.id)
    }

    /// Notes that the balancer has ended a request, and returns the wire id.
    pub fn end(&mut self, id: RequestId) -> Option<&Rc<str>> {
        let wire_id = self.wire_ids.get(&id)?;
        self.records.get_mut(wire_id)?.is_ended = true;
        Some(wire_id)
    }

    /// Notes that the client has disconnected, and returns the request's number.
    pub fn disconnect(&mut self, wire_id: &str) -> Option<RequestId> {
        let record = self.records.get_mut(wire_id)?;
        record.is_ended = true;
        Some(record.id)
    }

    /// Forgets requests that are ended and have no attempt in flight, if there is much to forget.
    pub fn sweep(&mut self) {
        if self.records.len() < SWEEP_THRESHOLD {
            return;
        }
        let wire_ids = &mut self.wire_ids;
        self.records.retain(|_, record| {
            let is_awaited = record.is_awaited();
            if !is_awaited {
                wire_ids.remove(&record.id);
            }
            is_awaited
        });
    }
}

#[cfg(test)]
mod tests;
