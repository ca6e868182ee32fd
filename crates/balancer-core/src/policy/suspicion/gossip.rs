//! Gossip of suspected servers: which peers are notified, and what that may cost.

use crate::policy::budget::Budget;
use crate::{PeerId, ServerId, Settings};

/// Most peers that are notified of one suspected server.
const MAX_PEERS: u32 = 64;
/// Bytes of gossip that each request earns.
const BYTES_PER_REQUEST: f64 = 25.0;
/// Most bytes that can be saved up.
const MAX_BYTES: f64 = 512.0;

/// The form of a message: the suspected server's number, most significant byte first.
const MESSAGE_BYTES: usize = size_of::<u32>();

/// Sends gossip within a budget of bytes.
pub struct Gossiper {
    /// In bytes.
    budget: Budget,
}

impl Gossiper {
    /// A gossiper with a full budget.
    pub fn new() -> Self {
        Gossiper { budget: Budget::new(MAX_BYTES) }
    }

    /// Earns the bytes that one request is worth.
    pub fn earn(&mut self) {
        self.budget.earn(BYTES_PER_REQUEST, MAX_BYTES);
    }

    /// Pays for as many messages as the budget allows and returns their receivers, drawn from all balancers.
    pub fn pay_for_receivers(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> Vec<PeerId> {
        let message_cost = MESSAGE_BYTES as f64;
        let affordable = (self.budget.balance() / message_cost) as u32;
        let other_balancers = settings.balancer_count - 1;
        let count = affordable.min(MAX_PEERS).min(other_balancers);
        let mut receivers = Vec::with_capacity(count as usize);
        for _ in 0..count {
            self.budget.spend(message_cost);
            receivers.push(PeerId(rng.u32(0..settings.balancer_count)));
        }
        receivers
    }
}

/// The message that names a suspected server.
pub fn encode(server: ServerId) -> [u8; MESSAGE_BYTES] {
    server.0.to_be_bytes()
}

/// The suspected server that a message names; `None` if the message is not of this form.
pub fn decode(payload: &[u8]) -> Option<ServerId> {
    payload.try_into().ok().map(|bytes| ServerId(u32::from_be_bytes(bytes)))
}

#[cfg(test)]
mod tests;
