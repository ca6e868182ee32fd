//! Reads the states of TCP connections from the kernel's connection table.

use super::within_time_limit;
use std::net::SocketAddr;
use std::time::Duration;

/// The state code of a connect in progress in `/proc/net/tcp`.
const SYN_SENT: &str = "02";
/// The state code, in `/proc/net/tcp`, of a connection whose local end has been closed and whose peer has not
/// yet acknowledged the close.
const FIN_WAIT_1: &str = "04";

/// Waits until a connect to this address is in progress.
pub async fn wait_for_connect_in_progress(address: SocketAddr) {
    // Matches the port of the remote address, and the state.
    let pattern = format!(":{:04X} {SYN_SENT} ", address.port());
    within_time_limit("a connect to the address", async {
        while !read_tcp_connections().contains(&pattern) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// Returns whether the agent has closed its side of a client connection, and the client's kernel has not yet
/// acknowledged the close and all data before it.
pub fn is_close_unacknowledged(agent: SocketAddr, client: SocketAddr) -> bool {
    // Matches the port of the local address, the remote address on 127.0.0.1, and the state.
    let pattern = format!(":{:04X} 0100007F:{:04X} {FIN_WAIT_1} ", agent.port(), client.port());
    read_tcp_connections().contains(&pattern)
}

fn read_tcp_connections() -> String {
    std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp should be readable")
}
