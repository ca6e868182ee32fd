//! One instance: a balancer, and the wire's identifiers of its servers and requests.

use crate::decode::decode;
use crate::encode::encode;
use crate::endpoint_lists::EndpointLists;
use crate::error::EventError;
use crate::wire::{WireAction, WireAttach, WireEvent};
use crate::wire_identifiers::WireIdentifiers;
use balancer_core::{Action, Balancer, Settings, Time};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One incarnation of an instance: it lives from its start to the end or the restart of the simulated agent.
pub struct Instance {
    balancer: Balancer,
    identifiers: WireIdentifiers,
}

impl Instance {
    /// An instance that has not been started.
    ///
    /// # Errors
    ///
    /// If the settings are not valid for a balancer.
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
    /// If the event is not valid for this instance.
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

    /// Runs a step of the balancer. A panic in it is reported in place of its actions.
    fn run_balancer(
        &mut self,
        wire_actions: &mut Vec<WireAction>,
        step: impl FnOnce(&mut Balancer, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        // The simulator shows a panic's text only if it is reported as an action. The balancer may be
        // inconsistent after a panic, which does no harm because the simulator stops at the report.
        let result = catch_unwind(AssertUnwindSafe(|| step(&mut self.balancer, &mut actions)));
        if let Err(panic) = result {
            wire_actions.push(WireAction::ReportBug { text: panic_text(&*panic) });
            return;
        }
        let identifiers = &mut self.identifiers;
        wire_actions.extend(actions.into_iter().map(|action| encode(action, identifiers)));
        identifiers.requests.prune();
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    match panic.downcast_ref::<&str>() {
        Some(text) => (*text).to_owned(),
        None => "panic without a text".to_owned(),
    }
}

#[cfg(test)]
mod tests;
