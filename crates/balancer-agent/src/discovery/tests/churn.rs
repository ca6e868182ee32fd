//! A property: whatever happens to the configuration, to discovery and to the servers, the agent knows each
//! change of the endpoint list at the time that the pages say, and obeys it.
//!
//! Each seed plays a random order of new configurations, outages, and changes of the list, on a paused clock and
//! without sockets. `CHURN_SEEDS` is the number of seeds, from `CHURN_FIRST_SEED` on.

mod agent;
mod discovery_service;
mod fleet;
mod scenario;

use agent::TestAgent;
use discovery_service::DiscoveryService;
use fleet::Fleet;
use scenario::Scenario;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// The number of seeds without `CHURN_SEEDS`.
const DEFAULT_SEEDS: u64 = 120;
/// The length of the scenario of one seed.
const SCENARIO_LENGTH: Duration = Duration::from_secs(40);
/// The time between two checks, between two requests, and the resolution of the scenario.
const STEP: Duration = Duration::from_millis(10);
/// How long the agent may send to a server after the notification that the server is draining or removed.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// The largest number of connections to discovery, all addresses together. A connection may be accepted before
/// the end of the one that it replaces has been read.
const MAX_CONNECTIONS: usize = 4 + 1;

/// Returns a number from the environment, or `default` if the variable is not set.
fn number_from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().unwrap_or_else(|_| panic!("{name} is not a number")))
}

/// Plays one seed and returns the violations of the property, each with its time.
async fn violations_of(seed: u64) -> Vec<String> {
    let started_at = Instant::now();
    let mut scenario = Scenario::new(seed);
    let service = DiscoveryService::start(Fleet::new(), scenario.responses(), seed);
    let agent = TestAgent::start(service.clone(), seed);
    let mut violations = Vec::new();
    while started_at.elapsed() < SCENARIO_LENGTH && violations.is_empty() {
        sleep(STEP).await;
        scenario.advance(&service, &agent);
        let sent_to = agent.send_request();
        for violation in check(&service, &agent, sent_to) {
            violations.push(format!("seed {seed}, {:?}: {violation}", started_at.elapsed()));
        }
    }
    violations
}

/// Checks the state of the agent, and that `sent_to` was allowed to get the request that was just sent.
fn check(service: &Rc<DiscoveryService>, agent: &TestAgent, sent_to: Option<usize>) -> Vec<String> {
    let now = Instant::now();
    let mut fleet = service.fleet();
    fleet.record_notifications(now, service.reachable_since(), &agent.address_changes());
    let mut violations = Vec::new();
    for server in 0..fleet.server_count() {
        let is_serving = fleet.is_serving(server);
        // What has arrived in this step may not have been handled yet.
        let is_known = fleet.notified_at(server).is_some_and(|at| at + STEP < now);
        if is_known && agent.is_serving(server) != is_serving {
            violations
                .push(format!("server {server} is serving: {is_serving}, which the agent does not know"));
        }
    }
    if let Some(down_at) = sent_to.and_then(|server| fleet.notified_of_end_at(server)) {
        if now > down_at + DRAIN_GRACE {
            violations.push(format!("a request to {sent_to:?}, {:?} after the notification", now - down_at));
        }
    }
    if service.open_connections() > MAX_CONNECTIONS {
        violations.push(format!("{} connections to discovery", service.open_connections()));
    }
    violations
}

/// Guards against changes of the list that are never heard, heard too late, or undone by an older list, while
/// configurations, outages and slow responses follow each other in any order (`review/9` is one such order).
#[test]
fn each_change_of_the_list_is_known_in_time_whatever_else_happens() {
    let first_seed = number_from_environment("CHURN_FIRST_SEED", 0);
    let seed_count = number_from_environment("CHURN_SEEDS", DEFAULT_SEEDS);
    let mut failures = Vec::new();
    for seed in first_seed..first_seed + seed_count {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        let violations = LocalSet::new().block_on(&runtime.expect("a runtime"), violations_of(seed));
        failures.extend(violations.into_iter().next());
    }
    assert!(failures.is_empty(), "{} of {seed_count} seeds fail:\n{}", failures.len(), failures.join("\n"));
}
