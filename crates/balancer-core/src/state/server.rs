//! What a balancer keeps of one server.

use super::latency::ServerLatency;
use super::load_report::ReportedLoad;
use super::smoothing::DecayingSum;
use crate::policy::{ConcurrencyLimit, Ejection};
use crate::{Endpoint, Outcome, Time};

/// The state of one server, as this balancer sees it.
pub struct ServerState {
    pub endpoint: Endpoint,
    /// Own attempts in flight.
    pub in_flight: u32,
    pub latency: ServerLatency,
    pub limit: ConcurrencyLimit,
    pub health: ServerHealth,
    pub reported_load: ReportedLoad,
    /// Work sent to it while it was warming up.
    pub warm_up_work: DecayingSum,
    /// When it was first seen to have left the endpoint list.
    pub removed_at: Option<Time>,
}

impl ServerState {
    /// A server of which nothing is known but its endpoint.
    pub fn new(endpoint: Endpoint, now: Time) -> Self {
        ServerState {
            endpoint,
            in_flight: 0,
            latency: ServerLatency::default(),
            limit: ConcurrencyLimit::new(now),
            health: ServerHealth::new(now),
            reported_load: ReportedLoad::default(),
            warm_up_work: DecayingSum::default(),
            removed_at: None,
        }
    }

    /// Forgets the process before: nothing that was learned of it holds for the new one, but its attempts may
    /// still be in flight.
    pub fn restart(&mut self, endpoint: Endpoint, now: Time) {
        let (in_flight, last_response) = (self.in_flight, self.health.last_response);
        *self = ServerState::new(endpoint, now);
        self.in_flight = in_flight;
        self.health.last_response = last_response;
    }
}

/// What is known of a server's health.
pub struct ServerHealth {
    /// Failures in a row.
    pub failures: u32,
    /// When it last responded in any way.
    pub last_response: Time,
    pub ejection: Option<Ejection>,
    /// In a sparse view, the server is under suspicion until then.
    pub suspected_until: Time,
}

impl ServerHealth {
    /// The health of a server that has not been sent anything yet.
    pub fn new(now: Time) -> Self {
        ServerHealth { failures: 0, last_response: now, ejection: None, suspected_until: now }
    }

    /// Takes in how an attempt ended. A full server is not unhealthy: it is only sent less.
    pub fn record(&mut self, now: Time, outcome: Outcome, is_late: bool) {
        match outcome {
            Outcome::Success => {
                self.failures = 0;
                self.last_response = now;
                if !is_late {
                    self.suspected_until = now;
                }
            }
            Outcome::Rejected => self.last_response = now,
            Outcome::ServerError | Outcome::ConnectionReset => {
                self.failures += 1;
                self.last_response = now;
            }
            Outcome::ConnectFailed => self.failures += 1,
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => {}
        }
    }
}
