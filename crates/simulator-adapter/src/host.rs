//! The host of all instances of this process: each event goes to the instance that it is for.

use crate::endpoint_lists::EndpointLists;
use crate::error::{BatchError, EventError};
use crate::instance::Instance;
use crate::wire::{Batch, Reply, ReplyPart, WireAction, WireAttach, WireEvent};
use balancer_core::Time;
use std::collections::BTreeMap;

/// All instances of this process, and the endpoint lists, which are all that they share.
#[derive(Default)]
pub struct Host {
    endpoint_lists: EndpointLists,
    instances: BTreeMap<u32, Instance>,
}

impl Host {
    /// Plays one batch and returns what the instances want done.
    ///
    /// # Errors
    ///
    /// If the batch has no proper time, or an event in it makes no sense.
    pub fn play(&mut self, batch: Batch<'_>) -> Result<Reply, BatchError> {
        let clock_ms = batch.clock_ms;
        if !clock_ms.is_finite() || clock_ms < 0.0 {
            return Err(BatchError::InvalidClock { clock_ms });
        }
        let now = Time::from_millis_f64(clock_ms);
        let mut reply = Reply { round: batch.round, parts: Vec::new() };
        for part in batch.parts {
            let instance = part.instance;
            let mut actions = Vec::new();
            for event in part.events {
                self.take_event(now, instance, event, &mut actions)
                    .map_err(|source| BatchError::InvalidEvent { instance, source })?;
            }
            if !actions.is_empty() {
                reply.parts.push(ReplyPart { instance, actions });
            }
        }
        Ok(reply)
    }

    fn take_event(
        &mut self,
        now: Time,
        instance: u32,
        event: WireEvent<'_>,
        outbox: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        match event {
            WireEvent::EndpointList(list) => self.endpoint_lists.insert(list),
            WireEvent::Attach(attach) => self.attach(now, instance, &attach, outbox)?,
            WireEvent::Retire {} => {
                self.instances.remove(&instance);
                // Nothing of the ended incarnation may act any more, not even earlier in this batch.
                outbox.clear();
            }
            event => {
                let not_attached = EventError::NotAttached { event: event.name() };
                let instance = self.instances.get_mut(&instance).ok_or(not_attached)?;
                instance.handle(now, event, &self.endpoint_lists, outbox)?;
            }
        }
        Ok(())
    }

    /// Starts a new incarnation of an instance; the one before it, if any, is forgotten.
    fn attach(
        &mut self,
        now: Time,
        instance: u32,
        attach: &WireAttach,
        outbox: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        let mut incarnation = Instance::new(attach)?;
        incarnation.start(now, outbox);
        self.instances.insert(instance, incarnation);
        Ok(())
    }
}
