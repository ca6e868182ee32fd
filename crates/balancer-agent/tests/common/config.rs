//! Builds the agent's configuration and writes it to a temporary file.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A request timeout that no test reaches.
const LONG_TIMEOUT_MS: u64 = 60_000;

/// A request class of the settings. The variants are in the order of the settings' list of classes.
#[derive(Clone, Copy)]
pub enum RequestClass {
    /// The class `read`, whose requests are idempotent.
    Read,
    /// The class `save`, whose requests servers deduplicate by their idempotency key.
    Save,
    /// The class `pay`, whose requests may each be processed at most once.
    Pay,
}

/// A valid configuration of the agent, which the `with_` methods change.
#[derive(Clone)]
pub struct AgentConfig(Value);

impl AgentConfig {
    /// Creates a configuration with this discovery address and a cached endpoint list of version 1 with these
    /// entries.
    pub fn new(discovery: SocketAddr, cached_entries: &[Value]) -> Self {
        AgentConfig(json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "0f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 1, "whole": true, "hosts": cached_entries}, "settings": settings()
        }))
    }

    /// Sets the address that the agent listens on.
    pub fn with_listen_address(mut self, address: &str) -> Self {
        self.0["listen"] = address.into();
        self
    }

    /// Sets the address of the discovery service.
    pub fn with_discovery(mut self, address: SocketAddr) -> Self {
        self.0["discovery"] = address.to_string().into();
        self
    }

    /// Sets the version of the cached endpoint list.
    pub fn with_cached_version(mut self, version: u64) -> Self {
        self.0["known"]["seq"] = version.into();
        self
    }

    /// Sets the maximum number of sockets that the agent may have open.
    pub fn with_socket_limit(mut self, sockets: usize) -> Self {
        self.0["limits"]["sockets"] = sockets.into();
        self
    }

    /// Sets the memory that the process may use, in MB.
    pub fn with_memory_limit_mb(mut self, megabytes: u64) -> Self {
        self.0["limits"]["memory_mb"] = megabytes.into();
        self
    }

    /// Sets the number of agents of the service. If they outnumber the servers, their views are sparse.
    pub fn with_balancer_count(mut self, count: u64) -> Self {
        self.0["settings"]["balancers"] = count.into();
        self
    }

    /// Sets the discovery mode `pushed`, in which discovery sends updates without a call. Only the simulator
    /// implements this mode.
    pub fn with_pushed_discovery(mut self) -> Self {
        self.0["settings"]["discovery"] = "pushed".into();
        self
    }

    /// Sets the timeout for connecting to a server.
    pub fn with_connect_timeout_ms(mut self, milliseconds: u64) -> Self {
        self.0["settings"]["limits"]["connectTimeoutMs"] = milliseconds.into();
        self
    }

    /// Sets the time after which servers close an idle connection.
    pub fn with_keep_alive_ms(mut self, milliseconds: u64) -> Self {
        self.0["settings"]["limits"]["keepaliveMs"] = milliseconds.into();
        self
    }

    /// Sets whether the response to a rejected request may have a `Retry-After` header.
    pub fn with_retry_after(mut self, is_allowed: bool) -> Self {
        self.0["settings"]["limits"]["retryAfter"] = is_allowed.into();
        self
    }

    /// Sets the time during which a server may still get requests after it has been listed as draining.
    pub fn with_stop_sending_within_ms(mut self, milliseconds: u64) -> Self {
        self.0["settings"]["rules"]["stopSendingWithinMs"] = milliseconds.into();
        self
    }

    /// Sets the timeout of every class to [`LONG_TIMEOUT_MS`].
    pub fn with_long_timeouts(self) -> Self {
        self.with_class_timeout_ms(RequestClass::Read, LONG_TIMEOUT_MS)
            .with_class_timeout_ms(RequestClass::Save, LONG_TIMEOUT_MS)
            .with_class_timeout_ms(RequestClass::Pay, LONG_TIMEOUT_MS)
    }

    /// Sets the timeout of a class: how long its clients wait for a response in total.
    pub fn with_class_timeout_ms(self, class: RequestClass, milliseconds: u64) -> Self {
        self.with_class_setting(class, "deadlineMs", milliseconds)
    }

    /// Sets the latency objective of a class.
    pub fn with_latency_objective_ms(self, class: RequestClass, milliseconds: u64) -> Self {
        self.with_class_setting(class, "aimMs", milliseconds)
    }

    /// Sets the time during which servers deduplicate the requests of a class.
    pub fn with_deduplication_window_ms(self, class: RequestClass, milliseconds: u64) -> Self {
        self.with_class_setting(class, "dedupWindowMs", milliseconds)
    }

    fn with_class_setting(mut self, class: RequestClass, name: &str, value: u64) -> Self {
        self.0["settings"]["classes"][class as usize][name] = value.into();
        self
    }

    /// Returns the text of the configuration file.
    pub fn to_text(&self) -> String {
        self.0.to_string()
    }
}

/// Returns the settings object of the configuration, with the classes of [`RequestClass`].
fn settings() -> Value {
    json!({"balancers": 1, "zone": 0, "zones": ["a", "b"], "kinds": ["m"], "discovery": "on_request",
           "classes": [class_settings("read", "idempotent"), class_settings("save", "deduplicated"),
                       class_settings("pay", "at_most_once")],
           "parties": [{"name": "acme", "fraction": 1.0, "allowancePerS": 100.0}],
           "feedback": {"source": "piggyback", "fields": ["qps", "queue"]},
           "limits": {"cancel": true, "connectTimeoutMs": 500, "keepaliveMs": 10000, "maxAttempts": 3,
                      "probes": true, "retryAfter": true, "maxRetryAfterMs": 750, "secondCopies": true},
           "rules": {"askWithinMs": 10000, "stopSendingWithinMs": 2000}, "periodMs": 1})
}

/// Returns the settings of a request class with this name and effect.
fn class_settings(name: &str, effect: &str) -> Value {
    json!({"name": name, "aimMs": 1500, "deadlineMs": 2500, "effect": effect, "group": "all",
           "dedupWindowMs": 5000, "points": 1})
}

/// A configuration file in the temporary directory. The file is removed on drop.
pub struct ConfigFile(PathBuf);

impl ConfigFile {
    /// Creates a file with a unique name and this text.
    pub fn create(text: &str) -> Self {
        static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("balancer-agent-{}-{number}.json", std::process::id());
        let file = ConfigFile(std::env::temp_dir().join(name));
        file.replace(text);
        file
    }

    /// Replaces the text of the file.
    pub fn replace(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the configuration file should be writable");
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
