//! The usage of the slots for client connections.

/// The minimum fraction of slots in use at which usage is elevated. The number of connections that a client
/// may hold is limited and includes connections that the client has abandoned. Clients may therefore reach
/// their limits well before all slots are in use.
const MIN_ELEVATED_USAGE_FRACTION: f64 = 0.25;
/// The minimum fraction of slots in use at which usage is high. Closing idle connections is not enough then:
/// clients that send one request per connection and keep the connection open reach the number of connections
/// that they may hold long before the agent may close an idle connection.
const MIN_HIGH_USAGE_FRACTION: f64 = 0.5;

/// The level of slot usage, which decides when connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUsage {
    /// Idle connections are closed after `time_limits::MAX_IDLE_TIME`.
    Low,
    /// Idle connections are closed as soon as this is permitted, after
    /// [`MIN_IDLE_TIME`](super::time_limits::MIN_IDLE_TIME).
    Elevated,
    /// Idle connections are closed as at elevated usage, and each response has a `Connection: close` header.
    /// The client sends no request on the connection after that, so the close cuts off no request.
    High,
}

impl SlotUsage {
    /// Returns the usage while `open` of at most `max_connections` connections are open.
    pub fn of(open: usize, max_connections: usize) -> Self {
        let open = open as f64;
        let slots = max_connections as f64;
        if open >= MIN_HIGH_USAGE_FRACTION * slots {
            SlotUsage::High
        } else if open >= MIN_ELEVATED_USAGE_FRACTION * slots {
            SlotUsage::Elevated
        } else {
            SlotUsage::Low
        }
    }
}

#[cfg(test)]
mod tests;
