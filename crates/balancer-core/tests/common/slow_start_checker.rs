//! The rule of slow start: a server that is warming up is sent at most its share of a warm server's load.

use super::observed_fleet::ObservedFleet;
use balancer_core::{Endpoint, ServerId, Settings, Time};
use std::collections::{BTreeSet, VecDeque};

/// Requests of the usual cost by which a server may exceed its share by chance.
const CHANCE_ALLOWANCE: f64 = 5.0;

struct SentWork {
    at: Time,
    server: ServerId,
    work: f64,
}

/// More work than its share, sent to a server that is warming up.
pub struct Overload {
    pub sent_work: f64,
    pub warm_average: f64,
}

/// Sums the work sent to each server over the overload window.
pub struct SlowStartChecker {
    settings: Settings,
    sent: VecDeque<SentWork>,
    warm_servers: BTreeSet<ServerId>,
    /// When `warm_servers` last changed; the epoch if it never did.
    warm_servers_changed_at: Time,
}

impl SlowStartChecker {
    pub fn new(settings: &Settings) -> Self {
        SlowStartChecker {
            settings: settings.clone(),
            sent: VecDeque::new(),
            warm_servers: BTreeSet::new(),
            warm_servers_changed_at: Time::EPOCH,
        }
    }

    /// Forgets the work sent to a server before its restart, which does not load the new process.
    pub fn forget(&mut self, restarted: ServerId) {
        self.sent.retain(|sent| sent.server != restarted);
    }

    /// Records work sent to a server; returns the overload if the server is warming up and has been sent more
    /// than its share.
    pub fn record(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        work: f64,
        fleet: &ObservedFleet,
    ) -> Option<Overload> {
        let server = endpoint.server;
        self.sent.push_back(SentWork { at: now, server, work });
        self.drop_old(now);
        self.refresh_warm_servers(now, fleet);
        let capacity_share = self.capacity_share(now, endpoint);
        if capacity_share >= 1.0 || self.warm_servers.is_empty() || !self.is_settled(now) {
            return None;
        }
        let sent_work = self.work_sent_to(|target| target == server);
        let warm_work = self.work_sent_to(|target| self.warm_servers.contains(&target));
        let warm_average = warm_work / self.warm_servers.len() as f64;
        let max_work = CHANCE_ALLOWANCE + self.settings.overload_factor * capacity_share * warm_average;
        (sent_work > max_work).then_some(Overload { sent_work, warm_average })
    }

    fn drop_old(&mut self, now: Time) {
        let window = self.settings.overload_window;
        while self.sent.front().is_some_and(|sent| sent.at + window < now) {
            self.sent.pop_front();
        }
    }

    /// The guaranteed share of a server's full capacity: from the initial capacity it grows evenly to 1 over
    /// the warm-up time.
    fn capacity_share(&self, now: Time, endpoint: &Endpoint) -> f64 {
        let Some(started_at) = endpoint.started_at else { return 1.0 };
        let warm_up_ms = self.settings.warm_up_time.as_millis_f64();
        let progress = (now.since(started_at).as_millis_f64() / warm_up_ms).min(1.0);
        let initial = self.settings.initial_capacity;
        initial + (1.0 - initial) * progress
    }

    fn refresh_warm_servers(&mut self, now: Time, fleet: &ObservedFleet) {
        let is_warm =
            |endpoint: &&Endpoint| endpoint.is_serving() && self.capacity_share(now, endpoint) >= 1.0;
        let warm_servers: BTreeSet<ServerId> =
            fleet.endpoints().filter(is_warm).map(|endpoint| endpoint.server).collect();
        if warm_servers != self.warm_servers {
            self.warm_servers = warm_servers;
            self.warm_servers_changed_at = now;
        }
    }

    /// Whether the warm servers have been the same for a whole window. The fair share changes with them, so
    /// earlier sends can't be measured against it.
    fn is_settled(&self, now: Time) -> bool {
        let changed_at = self.warm_servers_changed_at;
        now.since(changed_at) >= self.settings.overload_window || changed_at == Time::EPOCH
    }

    fn work_sent_to(&self, is_counted: impl Fn(ServerId) -> bool) -> f64 {
        self.sent.iter().filter(|sent| is_counted(sent.server)).map(|sent| sent.work).sum()
    }
}
