//! The states of TCP connections in the kernel's list.

use super::within_time_limit;
use std::net::SocketAddr;
use std::time::Duration;

const SYN_SENT: &str = "02";
const FIN_WAIT_1: &str = "04";

/// Waits until a connect to the address is in progress.
pub async fn wait_for_connect_in_progress(address: SocketAddr) {
    // The remote address and the state.
    let pattern = format!(":{:04X} {SYN_SENT} ", address.port());
    within_time_limit("a connect", async {
        while !tcp_connections().contains(&pattern) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// Whether the agent has closed its side of a client connection, and the client's kernel has not acknowledged
/// all of it.
pub fn is_close_unacknowledged(agent: SocketAddr, client: SocketAddr) -> bool {
    // The local address, the remote address and the state.
    let pattern = format!(":{:04X} 0100007F:{:04X} {FIN_WAIT_1} ", agent.port(), client.port());
    tcp_connections().contains(&pattern)
}

fn tcp_connections() -> String {
    std::fs::read_to_string("/proc/net/tcp").expect("the kernel's list")
}
