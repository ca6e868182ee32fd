//! Functions that build lines of input for tests and run sessions on them.

use crate::session::run;
use serde_json::{json, Value};

/// Settings with two classes and some unknown keys, which the adapter ignores.
const SETTINGS: &str = r#"{"balancers":2,"classes":[
 {"aimMs":200.0,"deadlineMs":800.0,"effect":"idempotent","group":"all","points":1.0,"stream":false,
  "novelty":[1]},
 {"aimMs":200.0,"deadlineMs":800.0,"effect":"deduplicated","group":"zone","dedupWindowMs":900.0,
  "points":2.0}],
 "feedback":{"fields":["queue","weather"],"source":"piggyback"},"limits":{"cancel":true,"maxAttempts":3},
 "somethingNew":{"deep":[{}]},"weights":"silent","zone":0}"#;

/// Returns an event that starts an instance.
pub fn attach() -> String {
    format!(r#"{{"ATTACH":{{"salt":7,"params":{}}}}}"#, SETTINGS.replace('\n', " "))
}

/// Returns an event that defines an endpoint list of serving servers.
pub fn catalog(list_number: u32, servers: &[&str]) -> String {
    let entries: Vec<String> = servers.iter().map(|server| catalog_entry(server)).collect();
    format!(r#"{{"CATALOG":{{"ref":{list_number},"membersList":[{}]}}}}"#, entries.join(","))
}

fn catalog_entry(server: &str) -> String {
    let entry = json!({
        "backend": server, "campus": 0, "classOfHost": 0, "cluster": 0,
        "status": "SERVING", "units": 1, "lastStartMs": null,
    });
    entry.to_string()
}

/// Returns an event that updates the endpoints of an instance from a list.
pub fn registry(form: &str, list_number: u32) -> String {
    format!(r#"{{"REGISTRY":{{"form":"{form}","rev":1,"ref":{list_number}}}}}"#)
}

/// Returns the event of a new request of the first class.
pub fn request(request_id: &str) -> String {
    let fields = json!({
        "ticket": request_id, "party": null, "cls": 0, "affinity": "k:1",
        "estimateMs": 12.5, "opts": 1, "expiresInMs": 640.125,
    });
    json!({ "REQUEST": fields }).to_string()
}

/// Returns a line of input with the events of some instances.
pub fn batch(round: u32, clock_ms: &str, parts: &[(u32, &[String])]) -> String {
    let parts: Vec<String> = parts.iter().map(|(instance, events)| part(*instance, events)).collect();
    format!("{{\"tMs\":{clock_ms},\"round\":{round},\"parts\":[{}]}}\n", parts.join(","))
}

fn part(instance: u32, events: &[String]) -> String {
    format!(r#"{{"who":{instance},"inbox":[{}]}}"#, events.join(","))
}

/// A session that has ended.
pub struct EndedSession {
    /// How the session ended; an error is given as its message.
    pub result: Result<(), String>,
    /// The lines of output.
    pub replies: Vec<Value>,
}

/// Runs a session on this input until the session ends.
pub fn run_session(input: &str) -> EndedSession {
    let mut output = Vec::new();
    let result = run(&mut input.as_bytes(), &mut output).map_err(|error| error.to_string());
    let output = String::from_utf8(output).expect("UTF-8");
    let replies = output.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    EndedSession { result, replies }
}

/// Returns the fields of all actions with this wire name in a reply.
pub fn actions<'a>(reply: &'a Value, name: &str) -> Vec<&'a Value> {
    let parts = reply["parts"].as_array().expect("parts");
    let actions = parts.iter().flat_map(|part| part["outbox"].as_array().expect("outbox"));
    actions.filter_map(|action| action.get(name)).collect()
}
