//! An instance: a balancer that runs for one simulated agent.

use crate::decode::decode;
use crate::encode::encode;
use crate::endpoint_lists::EndpointLists;
use crate::error::EventError;
use crate::wire::{WireAction, WireAttach, WireEvent};
use crate::wire_identifiers::WireIdentifiers;
use balancer_core::{Action, Balancer, Settings, Time};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A balancer and the wire identifiers of its servers and requests. When the simulated agent restarts, a new
/// instance replaces this one.
pub struct Instance {
    balancer: Balancer,
    identifiers: WireIdentifiers,
}

impl Instance {
    /// Creates an instance that has not been started. The caller must call [`Instance::start`] before it
    /// passes events.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(attach: &WireAttach) -> Result<Self, EventError> {
        let balancer = Balancer::new(Settings::from(&*attach.settings), attach.seed)?;
        Ok(Instance { balancer, identifiers: WireIdentifiers::default() })
    }

    /// Starts the balancer and appends its actions to `wire_actions`.
    pub fn start(&mut self, now: Time, wire_actions: &mut Vec<WireAction>) {
        self.run_balancer(wire_actions, |balancer, actions| balancer.start(now, actions));
    }

    /// Passes an event to the balancer and appends the balancer's actions to `wire_actions`.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is invalid for this instance; see [`EventError`].
    pub fn handle(
        &mut self,
        now: Time,
        event: WireEvent<'_>,
        lists: &EndpointLists,
        wire_actions: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        if let Some(event) = decode(event, &mut self.identifiers, lists)? {
            self.run_balancer(wire_actions, |balancer, actions| balancer.handle(now, event, actions));
        }
        Ok(())
    }

    /// Runs a step of the balancer and encodes the resulting actions. If the balancer panics, a report of the
    /// panic takes the place of the actions.
    fn run_balancer(
        &mut self,
        wire_actions: &mut Vec<WireAction>,
        step: impl FnOnce(&mut Balancer, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        // The simulator shows the panic message only if it is reported as an action. The state of the
        // balancer may be inconsistent after a panic. This does no harm, because the simulator stops when it
        // receives the report.
        let result = catch_unwind(AssertUnwindSafe(|| step(&mut self.balancer, &mut actions)));
        if let Err(payload) = result {
            wire_actions.push(WireAction::ReportBug { text: panic_message(&*payload) });
            return;
        }
        let identifiers = &mut self.identifiers;
        wire_actions.extend(actions.into_iter().map(|action| encode(action, identifiers)));
        identifiers.requests.prune();
    }
}

/// Returns the message of a panic.
fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(message) = payload.downcast_ref::<String>() {
        return message.clone();
    }
    match payload.downcast_ref::<&str>() {
        Some(message) => (*message).to_owned(),
        None => "panic without a text".to_owned(),
    }
}

#[cfg(test)]
mod tests;
