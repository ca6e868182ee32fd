//! The requests of one instance: their ids on the wire and their numbers in the balancer.

use balancer_core::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// Finished requests are removed only while the map holds at least this many, so that the cost of looking
/// through all of them is spread over many requests.
const PRUNING_THRESHOLD: usize = 1024;

/// What is known of a request.
#[derive(Debug)]
struct RequestRecord {
    id: RequestId,
    attempts_in_flight: u32,
    /// It has its final answer, or its client has disconnected.
    is_closed: bool,
}

impl RequestRecord {
    fn new(id: RequestId) -> Self {
        RequestRecord { id, attempts_in_flight: 0, is_closed: false }
    }

    /// Whether no more events or actions refer to the request.
    fn is_finished(&self) -> bool {
        self.is_closed && self.attempts_in_flight == 0
    }
}

/// Maps the ids that the simulator gives to requests ("wire ids") to the balancer's numbers, and back.
///
/// A request is kept while it is open or has attempts in flight.
#[derive(Debug, Default)]
pub struct RequestIdMap {
    records: HashMap<Rc<str>, RequestRecord>,
    wire_ids: HashMap<RequestId, Rc<str>>,
    next_id: u64,
}

impl RequestIdMap {
    /// Adds a new request and returns its number; `None` if its wire id is already in use.
    pub fn insert(&mut self, wire_id: &str) -> Option<RequestId> {
        if self.records.contains_key(wire_id) {
            return None;
        }
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let wire_id: Rc<str> = Rc::from(wire_id);
        self.records.insert(Rc::clone(&wire_id), RequestRecord::new(id));
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

    /// Records that an attempt is sent, and returns the wire id of its request.
    pub fn start_attempt(&mut self, id: RequestId) -> Option<&Rc<str>> {
        let wire_id = self.wire_ids.get(&id)?;
        self.records.get_mut(wire_id)?.attempts_in_flight += 1;
        Some(wire_id)
    }

    /// Records that an attempt has ended, and returns the number of its request. A request is finished once
    /// it has its final answer.
    pub fn end_attempt(&mut self, wire_id: &str, is_request_finished: bool) -> Option<RequestId> {
        let record = self.records.get_mut(wire_id)?;
        record.attempts_in_flight = record.attempts_in_flight.saturating_sub(1);
        record.is_closed |= is_request_finished;
        Some(record.id)
    }

    /// Records that the balancer has rejected or failed a request, and returns its wire id.
    pub fn close(&mut self, id: RequestId) -> Option<&Rc<str>> {
        let wire_id = self.wire_ids.get(&id)?;
        self.records.get_mut(wire_id)?.is_closed = true;
        Some(wire_id)
    }

    /// Records that the client has disconnected and needs no answer, and returns the request's number.
    pub fn disconnect(&mut self, wire_id: &str) -> Option<RequestId> {
        let record = self.records.get_mut(wire_id)?;
        record.is_closed = true;
        Some(record.id)
    }

    /// Removes finished requests if the map is large.
    pub fn prune(&mut self) {
        if self.records.len() < PRUNING_THRESHOLD {
            return;
        }
        let wire_ids = &mut self.wire_ids;
        self.records.retain(|_, record| {
            let is_finished = record.is_finished();
            if is_finished {
                wire_ids.remove(&record.id);
            }
            !is_finished
        });
    }
}

#[cfg(test)]
mod tests;
