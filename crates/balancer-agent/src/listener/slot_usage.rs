//! How scarce the connection slots of clients are.

/// From this share of the slots on, usage is elevated. Clients count connections that they have abandoned
/// among those that they may hold, so slots become scarce well before all are in use.
const ELEVATED_USAGE: f64 = 0.25;
/// From this share of the slots on, usage is high. Clients that send one request and keep the connection use
/// up the connections that they may hold long before an idle one may be closed.
const HIGH_USAGE: f64 = 0.5;
/// How scarce connection slots are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUsage {
    /// Idle connections are kept for long.
    Low,
    /// Idle connections are closed as soon as clients allow it.
    Elevated,
    /// In addition, each answer announces that it is the last on its connection. No request can cross such a
    /// close.
    High,
}

impl SlotUsage {
    /// The usage while `open` connections are open of at most `max_connections`.
    pub fn of(open: usize, max_connections: usize) -> Self {
        let open = open as f64;
        let slots = max_connections as f64;
        if open >= HIGH_USAGE * slots {
            SlotUsage::High
        } else if open >= ELEVATED_USAGE * slots {
            SlotUsage::Elevated
        } else {
            SlotUsage::Low
        }
    }
}

#[cfg(test)]
mod tests;
