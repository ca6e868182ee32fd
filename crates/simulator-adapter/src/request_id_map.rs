//! The mapping between the ids that the simulator and the balancer give to the requests of an instance.

use balancer_core::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// The minimum number of requests in the map for [`RequestIdMap::prune`] to remove any. Pruning visits every
/// request in the map. The minimum spreads this cost over many requests.
const PRUNING_THRESHOLD: usize = 1024;

/// The state of a request in the map.
#[derive(Debug)]
struct RequestRecord {
    id: RequestId,
    attempts_in_flight: u32,
    /// Whether the request has had its final response or its client has disconnected.
    is_closed: bool,
}

impl RequestRecord {
    fn new(id: RequestId) -> Self {
        RequestRecord { id, attempts_in_flight: 0, is_closed: false }
    }

    /// Returns whether no further event or action can refer to the request.
    fn can_be_removed(&self) -> bool {
        self.is_closed && self.attempts_in_flight == 0
    }
}

/// A mapping between the ids that the simulator gives to requests (wire ids) and the ids in the balancer.
///
/// The map keeps a request at least until the request is closed and has no attempts in flight.
#[derive(Debug, Default)]
pub struct RequestIdMap {
    records: HashMap<Rc<str>, RequestRecord>,
    wire_ids: HashMap<RequestId, Rc<str>>,
    next_id: u64,
}

impl RequestIdMap {
    /// Adds a request and returns its id. Returns `None` if the map already has a request with this wire id.
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

    /// Returns the id of the request with this wire id, or `None` if the request is unknown.
    pub fn find(&self, wire_id: &str) -> Option<RequestId> {
        self.records.get(wire_id).map(|record| record.id)
    }

    /// Returns the wire id of the request with this id, or `None` if the request is unknown.
    pub fn wire_id(&self, id: RequestId) -> Option<&Rc<str>> {
        self.wire_ids.get(&id)
    }

    /// Records that an attempt is sent. Returns the wire id of its request, or `None` if the request is
    /// unknown.
    pub fn start_attempt(&mut self, id: RequestId) -> Option<&Rc<str>> {
        let wire_id = self.wire_ids.get(&id)?;
        self.records.get_mut(wire_id)?.attempts_in_flight += 1;
        Some(wire_id)
    }

    /// Records that an attempt has ended and, if `is_request_finished`, that its request has its final
    /// response. Returns the id of the request, or `None` if the request is unknown.
    pub fn end_attempt(&mut self, wire_id: &str, is_request_finished: bool) -> Option<RequestId> {
        let record = self.records.get_mut(wire_id)?;
        record.attempts_in_flight = record.attempts_in_flight.saturating_sub(1);
        record.is_closed |= is_request_finished;
        Some(record.id)
    }

    /// Records that the balancer has rejected or failed a request. Returns the wire id of the request, or
    /// `None` if the request is unknown.
    pub fn close(&mut self, id: RequestId) -> Option<&Rc<str>> {
        let wire_id = self.wire_ids.get(&id)?;
        self.records.get_mut(wire_id)?.is_closed = true;
        Some(wire_id)
    }

    /// Records that the client has disconnected, so the request no longer needs a final response. Returns the
    /// id of the request, or `None` if the request is unknown.
    pub fn disconnect(&mut self, wire_id: &str) -> Option<RequestId> {
        let record = self.records.get_mut(wire_id)?;
        record.is_closed = true;
        Some(record.id)
    }

    /// Removes the requests that no further event or action can refer to, if the map holds at least
    /// [`PRUNING_THRESHOLD`] requests.
    pub fn prune(&mut self) {
        if self.records.len() < PRUNING_THRESHOLD {
            return;
        }
        let wire_ids = &mut self.wire_ids;
        self.records.retain(|_, record| {
            let can_be_removed = record.can_be_removed();
            if can_be_removed {
                wire_ids.remove(&record.id);
            }
            !can_be_removed
        });
    }
}

#[cfg(test)]
mod tests;
