//! Gossip about suspected servers: the message format, the choice of receivers, and the budget in bytes.

use crate::policy::token_bucket::TokenBucket;
use crate::{PeerId, ServerId, Settings};

/// Maximum number of peers that are notified of a suspected server.
const MAX_RECEIVERS: u32 = 64;
/// Bytes that each client request adds to the budget.
const BYTES_PER_REQUEST: f64 = 25.0;
/// Maximum balance of the budget, in bytes.
const MAX_BALANCE_BYTES: f64 = 512.0;

/// Length of a message in bytes. A message consists of the id of the suspected server in big-endian byte
/// order.
const MESSAGE_BYTES: usize = size_of::<u32>();

/// The budget of bytes that may be spent on gossip messages.
pub struct GossipBudget {
    bytes: TokenBucket,
}

impl GossipBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        GossipBudget { bytes: TokenBucket::new(MAX_BALANCE_BYTES) }
    }

    /// Adds the bytes for one client request.
    pub fn refill(&mut self) {
        self.bytes.refill(BYTES_PER_REQUEST, MAX_BALANCE_BYTES);
    }

    /// Draws the receivers of a round of messages uniformly at random from the ids of all balancers, and
    /// spends the bytes of the messages.
    ///
    /// The number of messages is limited by the budget, by [`MAX_RECEIVERS`] and by the number of other
    /// balancers. A receiver may be drawn more than once, and this balancer's own id is not excluded.
    pub fn draw_receivers(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> Vec<PeerId> {
        let message_cost = MESSAGE_BYTES as f64;
        let allowed_messages = (self.bytes.balance() / message_cost) as u32;
        let other_balancers = settings.balancer_count - 1;
        let count = allowed_messages.min(MAX_RECEIVERS).min(other_balancers);
        let mut receivers = Vec::with_capacity(count as usize);
        for _ in 0..count {
            self.bytes.spend(message_cost);
            receivers.push(PeerId(rng.u32(0..settings.balancer_count)));
        }
        receivers
    }
}

/// Encodes a message that names a suspected server.
pub fn encode(server: ServerId) -> [u8; MESSAGE_BYTES] {
    server.0.to_be_bytes()
}

/// Decodes a message into the id of the suspected server. Returns `None` if the length of the message is
/// wrong.
pub fn decode(payload: &[u8]) -> Option<ServerId> {
    payload.try_into().ok().map(|bytes| ServerId(u32::from_be_bytes(bytes)))
}

#[cfg(test)]
mod tests;
