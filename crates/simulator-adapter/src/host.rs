//! The host of all instances of the process. It passes each event to the instance that the event is for.

use crate::endpoint_lists::EndpointLists;
use crate::error::{BatchError, EventError};
use crate::instance::Instance;
use crate::wire::{Batch, InstanceActions, InstanceEvents, Reply, WireAction, WireAttach, WireEvent};
use balancer_core::Time;
use std::collections::BTreeMap;

/// All instances of the process. The instances share nothing but the endpoint lists.
#[derive(Default)]
pub struct Host {
    endpoint_lists: EndpointLists,
    /// The instances that have been started, by their numbers.
    instances: BTreeMap<u32, Instance>,
}

impl Host {
    /// Handles the events of a batch in order and returns the actions of the instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the time of the batch or one of its events is invalid.
    pub fn handle_batch(&mut self, batch: Batch<'_>) -> Result<Reply, BatchError> {
        let clock_ms = batch.clock_ms;
        if !clock_ms.is_finite() || clock_ms < 0.0 {
            return Err(BatchError::InvalidClock { clock_ms });
        }
        let now = Time::from_millis_f64(clock_ms);
        let mut reply = Reply { round: batch.round, instances: Vec::new() };
        for instance_events in batch.instances {
            let instance_actions = self.handle_events(now, instance_events)?;
            if !instance_actions.actions.is_empty() {
                reply.instances.push(instance_actions);
            }
        }
        Ok(reply)
    }

    fn handle_events(
        &mut self,
        now: Time,
        instance_events: InstanceEvents<'_>,
    ) -> Result<InstanceActions, BatchError> {
        let instance = instance_events.instance;
        let mut actions = Vec::new();
        for event in instance_events.events {
            self.handle_event(now, instance, event, &mut actions)
                .map_err(|source| BatchError::InvalidEvent { instance, source })?;
        }
        Ok(InstanceActions { instance, actions })
    }

    fn handle_event(
        &mut self,
        now: Time,
        instance: u32,
        event: WireEvent<'_>,
        actions: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        match event {
            WireEvent::EndpointList(list) => self.endpoint_lists.insert(list),
            WireEvent::Attach(attach) => self.attach(now, instance, &attach, actions)?,
            WireEvent::Retire {} => {
                self.instances.remove(&instance);
                // The simulator must not carry out actions that the ended instance returned in this batch.
                actions.clear();
            }
            event => {
                let not_attached = EventError::NotAttached { event: event.name() };
                let instance = self.instances.get_mut(&instance).ok_or(not_attached)?;
                instance.handle(now, event, &self.endpoint_lists, actions)?;
            }
        }
        Ok(())
    }

    /// Starts a new instance, which replaces an earlier one with the same number.
    fn attach(
        &mut self,
        now: Time,
        instance: u32,
        attach: &WireAttach,
        actions: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        let mut new_instance = Instance::new(attach)?;
        new_instance.start(now, actions);
        self.instances.insert(instance, new_instance);
        Ok(())
    }
}
