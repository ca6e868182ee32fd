//! Checks the rule of slow start.
//!
//! The rule limits the work that a server is sent within an overload window while it is warming up. The limit
//! is the mean work that a warm server is sent in the window, times the capacity share of the server that is
//! warming up, times the overload factor. The server may exceed the limit by [`RANDOM_EXCESS_WORK`].

use super::observed_fleet::ObservedFleet;
use balancer_core::{Endpoint, ServerId, Settings, Time};
use std::collections::{BTreeSet, VecDeque};

/// The work, in requests of typical cost, by which a server may exceed its limit, because routing is random.
const RANDOM_EXCESS_WORK: f64 = 5.0;

/// The work of one attempt, in requests of typical cost.
struct SentWork {
    at: Time,
    server: ServerId,
    work: f64,
}

/// The work of a server that is warming up and was sent more than its limit.
pub struct Overload {
    /// The work that the server was sent.
    pub sent_work: f64,
    /// The mean work that a warm server was sent.
    pub mean_warm_work: f64,
}

/// A checker that compares the work that was sent to servers that are warming up with the work that was sent
/// to warm servers, during the last overload window.
pub struct SlowStartChecker {
    settings: Settings,
    /// The work of the attempts of the last overload window, in the order in which they were sent.
    sent: VecDeque<SentWork>,
    /// The serving servers that have reached their full capacity.
    warm_servers: BTreeSet<ServerId>,
    /// When `warm_servers` last changed; the epoch if it has never changed.
    warm_servers_changed_at: Time,
}

impl SlowStartChecker {
    /// Creates a checker that has recorded no work.
    pub fn new(settings: &Settings) -> Self {
        SlowStartChecker {
            settings: settings.clone(),
            sent: VecDeque::new(),
            warm_servers: BTreeSet::new(),
            warm_servers_changed_at: Time::EPOCH,
        }
    }

    /// Removes the work that was sent to a server before its restart, because that work does not load the new
    /// process.
    pub fn remove_work_before_restart(&mut self, restarted: ServerId) {
        self.sent.retain(|sent| sent.server != restarted);
    }

    /// Records work that is sent to a server. Returns the overload if the server is warming up and has been
    /// sent more than its limit.
    pub fn record(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        work: f64,
        fleet: &ObservedFleet,
    ) -> Option<Overload> {
        let server = endpoint.server;
        self.sent.push_back(SentWork { at: now, server, work });
        self.remove_expired_work(now);
        self.update_warm_servers(now, fleet);
        let capacity_share = self.capacity_share(now, endpoint);
        if capacity_share >= 1.0 || self.warm_servers.is_empty() || !self.has_stable_warm_servers(now) {
            return None;
        }
        let sent_work = self.work_sent_to(|target| target == server);
        let warm_work = self.work_sent_to(|target| self.warm_servers.contains(&target));
        let mean_warm_work = warm_work / self.warm_servers.len() as f64;
        let max_work = RANDOM_EXCESS_WORK + self.settings.overload_factor * capacity_share * mean_warm_work;
        (sent_work > max_work).then_some(Overload { sent_work, mean_warm_work })
    }

    /// Removes the work that was sent before the overload window.
    fn remove_expired_work(&mut self, now: Time) {
        let window = self.settings.overload_window;
        while self.sent.front().is_some_and(|sent| sent.at + window < now) {
            self.sent.pop_front();
        }
    }

    /// Returns the share of its full capacity that a server is guaranteed to have. The share grows linearly
    /// from the initial capacity to 1 over the warm-up time.
    fn capacity_share(&self, now: Time, endpoint: &Endpoint) -> f64 {
        let Some(started_at) = endpoint.started_at else { return 1.0 };
        let warm_up_ms = self.settings.warm_up_time.as_millis_f64();
        let progress = (now.since(started_at).as_millis_f64() / warm_up_ms).min(1.0);
        let initial = self.settings.initial_capacity;
        initial + (1.0 - initial) * progress
    }

    /// Updates the set of warm servers.
    fn update_warm_servers(&mut self, now: Time, fleet: &ObservedFleet) {
        let is_warm =
            |endpoint: &&Endpoint| endpoint.is_serving() && self.capacity_share(now, endpoint) >= 1.0;
        let warm_servers: BTreeSet<ServerId> =
            fleet.endpoints().filter(is_warm).map(|endpoint| endpoint.server).collect();
        if warm_servers != self.warm_servers {
            self.warm_servers = warm_servers;
            self.warm_servers_changed_at = now;
        }
    }

    /// Returns whether the set of warm servers has not changed during the last overload window. Work that was
    /// sent before a change cannot be compared, because the mean work of a warm server changes with the set.
    fn has_stable_warm_servers(&self, now: Time) -> bool {
        let changed_at = self.warm_servers_changed_at;
        now.since(changed_at) >= self.settings.overload_window || changed_at == Time::EPOCH
    }

    /// Returns the work sent to the servers for which `is_counted` returns `true`.
    fn work_sent_to(&self, is_counted: impl Fn(ServerId) -> bool) -> f64 {
        self.sent.iter().filter(|sent| is_counted(sent.server)).map(|sent| sent.work).sum()
    }
}
