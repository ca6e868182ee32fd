//! What happens in one seed: new configurations, outages of discovery, and changes of the servers.

use super::agent::TestAgent;
use super::discovery_service::{address, DiscoveryService, Outage, Responses, CLOSE_DELAY};
use super::fleet::Health;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The platform sends no signal within the first second (TERMS page, "Reconfiguration").
const QUIET_START: Duration = Duration::from_secs(1);
/// The longest response times of discovery that seeds choose from. They are shorter than 2 s: three responses in
/// turn then take less than the time after which a change counts as notified.
const MAX_DELAYS_MS: [u64; 5] = [20, 500, 900, 1_200, 1_800];
/// How much longer an address answers than the longest response takes, so that each call can be answered where
/// it was made.
const MIN_SPARE_TIME: Duration = Duration::from_millis(100);
/// The shortest and the longest time between two configurations of a series.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
const MAX_INTERVAL: Duration = Duration::from_secs(2);
/// The number of configurations in a series.
const SERIES_LENGTH: Range<u32> = 1..13;
/// The pauses between series, changes of servers, and outages, in milliseconds.
const SERIES_PAUSE_MS: Range<u64> = 200..8_000;
const CHANGE_PAUSE_MS: Range<u64> = 50..4_000;
const OUTAGE_PAUSE_MS: Range<u64> = 3_000..15_000;
const OUTAGE_LENGTH_MS: Range<u64> = 100..4_000;
/// The number of servers that are up at all times.
const MIN_UP: usize = 2;
/// The share of seeds without outages, and of configurations whose address is a former one or the present one.
const NO_OUTAGE_SHARE: f64 = 0.4;
const FORMER_ADDRESS_SHARE: f64 = 0.2;
const UNCHANGED_ADDRESS_SHARE: f64 = 0.1;

/// What happens next, and when.
pub struct Scenario {
    rng: fastrand::Rng,
    responses: Responses,
    /// The time between two configurations of the present series, and how many of them are still to come.
    interval: Duration,
    series_left: u32,
    next_configuration: Instant,
    next_change: Instant,
    /// When the next outage begins or the present one ends; `None` if the seed has no outages.
    next_outage_event: Option<Instant>,
    is_outage: bool,
    present_address: u16,
    last_new_address: u16,
}

impl Scenario {
    /// Draws the scenario of a seed, which begins now.
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let responses = Responses {
            max_delay: Duration::from_millis(MAX_DELAYS_MS[rng.usize(..MAX_DELAYS_MS.len())]),
            has_equal_delays: rng.bool(),
            is_list_of_end: rng.bool(),
            complete_list_probability: [0.0, 0.3, 1.0][rng.usize(..3)],
        };
        let begin = Instant::now() + QUIET_START;
        let has_outages = rng.f64() >= NO_OUTAGE_SHARE;
        Scenario {
            responses,
            interval: MAX_INTERVAL,
            series_left: 0,
            next_configuration: begin + draw_ms(&mut rng, SERIES_PAUSE_MS),
            next_change: begin + draw_ms(&mut rng, CHANGE_PAUSE_MS),
            next_outage_event: has_outages.then(|| begin + draw_ms(&mut rng, OUTAGE_PAUSE_MS)),
            is_outage: false,
            present_address: 1,
            last_new_address: 1,
            rng,
        }
    }

    /// Returns how discovery answers calls.
    pub fn responses(&self) -> Responses {
        self.responses
    }

    /// Lets everything happen that is due.
    pub fn advance(&mut self, service: &Rc<DiscoveryService>, agent: &Rc<TestAgent>) {
        let now = Instant::now();
        if now >= self.next_change {
            self.change_server(service);
            self.next_change = now + draw_ms(&mut self.rng, CHANGE_PAUSE_MS);
        }
        if self.next_outage_event.is_some_and(|at| now >= at) {
            self.begin_or_end_outage(service, now);
        }
        if now >= self.next_configuration {
            self.reload(service, agent);
            self.schedule_next_configuration(now);
        }
    }

    /// Drains, removes or starts a server again.
    fn change_server(&mut self, service: &DiscoveryService) {
        let mut fleet = service.fleet();
        let server = self.rng.usize(..fleet.server_count());
        let up_count = (0..fleet.server_count()).filter(|server| fleet.is_serving(*server)).count();
        let next = match fleet.health(server) {
            Health::Up if up_count <= MIN_UP => return,
            Health::Up => [Health::Draining, Health::Removed][self.rng.usize(..2)],
            Health::Draining => [Health::Removed, Health::Up][self.rng.usize(..2)],
            Health::Removed => Health::Up,
        };
        fleet.change(server, next);
        drop(fleet);
        service.publish();
    }

    fn begin_or_end_outage(&mut self, service: &DiscoveryService, now: Instant) {
        self.is_outage = !self.is_outage;
        let outages = [Outage::Error, Outage::Cut, Outage::Restart];
        let outage = self.is_outage.then(|| outages[self.rng.usize(..outages.len())]);
        service.set_outage(outage);
        let until_next_event = if self.is_outage { OUTAGE_LENGTH_MS } else { OUTAGE_PAUSE_MS };
        self.next_outage_event = Some(now + draw_ms(&mut self.rng, until_next_event));
    }

    /// Sends a configuration with a new address, a former one, or the present one.
    fn reload(&mut self, service: &DiscoveryService, agent: &Rc<TestAgent>) {
        let kind = self.rng.f64();
        if kind >= UNCHANGED_ADDRESS_SHARE + FORMER_ADDRESS_SHARE {
            self.last_new_address += 1;
            self.present_address = self.last_new_address;
        } else if kind >= UNCHANGED_ADDRESS_SHARE {
            self.present_address = self.rng.u16(1..=self.last_new_address);
        }
        service.change_address(address(self.present_address));
        agent.reload(address(self.present_address));
    }

    fn schedule_next_configuration(&mut self, now: Instant) {
        if self.series_left == 0 {
            let min_interval = (self.responses.max_delay + MIN_SPARE_TIME).saturating_sub(CLOSE_DELAY);
            let min_interval = min_interval.max(MIN_INTERVAL);
            self.interval = min_interval + MAX_INTERVAL.saturating_sub(min_interval).mul_f64(self.rng.f64());
            self.series_left = self.rng.u32(SERIES_LENGTH);
            self.next_configuration = now + draw_ms(&mut self.rng, SERIES_PAUSE_MS);
        } else {
            self.series_left -= 1;
            self.next_configuration = now + self.interval;
        }
    }
}

/// Draws a time from a range in milliseconds.
fn draw_ms(rng: &mut fastrand::Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}
