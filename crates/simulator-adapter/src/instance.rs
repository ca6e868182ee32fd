//! One instance: a balancer, and its names.

use crate::decode::decode;
use crate::encode::encode;
use crate::endpoint_lists::EndpointLists;
use crate::error::EventError;
use crate::instance_names::InstanceNames;
use crate::wire::{WireAction, WireAttach, WireEvent};
use balancer_core::{Action, Balancer, Settings, Time};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One incarnation of an instance.
pub struct Instance {
    balancer: Balancer,
    names: InstanceNames,
}

impl Instance {
    /// An instance that has not been started.
    ///
    /// # Errors
    ///
    /// If no balancer can work with the settings.
    pub fn new(attach: &WireAttach) -> Result<Self, EventError> {
        let balancer = Balancer::new(Settings::from(&*attach.settings), attach.seed)?;
        Ok(Instance { balancer, names: InstanceNames::default() })
    }

    /// Starts the balancer; what it wants done is appended to `outbox`.
    pub fn start(&mut self, now: Time, outbox: &mut Vec<WireAction>) {
        self.run_balancer(outbox, |balancer, actions| balancer.start(now, actions));
    }

    /// Tells the balancer of an event; what it wants done is appended to `outbox`.
    ///
    /// # Errors
    ///
    /// If the event makes no sense for this instance.
    pub fn handle(
        &mut self,
        now: Time,
        event: WireEvent<'_>,
        lists: &EndpointLists,
        outbox: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        if let Some(event) = decode(event, &mut self.names, lists)? {
            self.run_balancer(outbox, |balancer, actions| balancer.handle(now, event, actions));
        }
        Ok(())
    }

    fn run_balancer(
        &mut self,
        outbox: &mut Vec<WireAction>,
        step: impl FnOnce(&mut Balancer, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        // The simulator shows a panic's text only if it is reported as an action. The balancer may be
        // inconsistent after a panic; that does no harm, for the simulator stops at the report.
        let result = catch_unwind(AssertUnwindSafe(|| step(&mut self.balancer, &mut actions)));
        if let Err(panic) = result {
            outbox.push(WireAction::ReportBug { text: panic_text(&*panic) });
            return;
        }
        let names = &mut self.names;
        outbox.extend(actions.into_iter().map(|action| encode(action, names)));
        names.requests.sweep();
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
