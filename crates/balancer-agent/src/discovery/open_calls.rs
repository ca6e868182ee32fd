//! The calls of a watch that wait for their responses.

use super::call::{Call, CallError, CallResponse};
use super::connector::Connector;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// How long a call may take in addition to its wait at discovery before its response is overdue. The protocol
/// assumes that the agent is notified of a change no later than 2 s after the end of the wait (PROTOCOL page,
/// "Figures"). If a response is overdue, the next call must start within these 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum number of calls that wait for their responses at a time. Each has a connection of its own.
const MAX_OPEN_CALLS: usize = 4;

/// The calls that wait for their responses. Dropping the value closes their connections.
pub struct OpenCalls<C> {
    connector: Rc<C>,
    /// Oldest first.
    calls: Vec<OpenCall>,
    tasks: JoinSet<Result<CallResponse, CallError>>,
}

struct OpenCall {
    task: AbortHandle,
    after_version: Option<u64>,
    response_due_at: Instant,
}

/// A call that has ended.
pub struct EndedCall {
    /// The version whose changes the call waited for; `None` if it requested the complete list.
    pub after_version: Option<u64>,
    /// Whether no call that was made later is open.
    pub is_newest: bool,
    /// The response, or why the call failed.
    pub result: Result<CallResponse, CallError>,
}

impl<C: Connector> OpenCalls<C> {
    /// Creates an empty set of calls, whose connections `connector` will open.
    pub fn new(connector: Rc<C>) -> Self {
        OpenCalls { connector, calls: Vec::new(), tasks: JoinSet::new() }
    }

    /// Makes a call in a separate task. If too many calls are open, gives up the second oldest: a slow
    /// discovery service is likely to respond to the oldest call first.
    pub fn open(&mut self, call: Call) {
        if self.calls.len() == MAX_OPEN_CALLS {
            self.calls.remove(1).task.abort();
        }
        let after_version = call.after_version;
        let response_due_at = Instant::now() + call.wait() + RESPONSE_TIMEOUT;
        let task = self.tasks.spawn_local(call.make(self.connector.clone()));
        self.calls.push(OpenCall { task, after_version, response_due_at });
    }

    /// Returns when the response to the newest call is overdue, or `None` if no call is open.
    pub fn newest_due_at(&self) -> Option<Instant> {
        self.calls.last().map(|call| call.response_due_at)
    }

    /// Waits until a call ends. Gives up the calls that were made before a call that got a response, because
    /// their responses would contain nothing new. Returns `None` if no call is open.
    pub async fn next_ended(&mut self) -> Option<EndedCall> {
        loop {
            let (id, result) = match self.tasks.join_next_with_id().await? {
                Ok((id, result)) => (id, result),
                Err(error) => (error.id(), Err(CallError::Panicked)),
            };
            // A call that was given up is no longer in the list.
            let Some(position) = self.calls.iter().position(|call| call.task.id() == id) else { continue };
            let is_newest = position + 1 == self.calls.len();
            let call = self.calls.remove(position);
            if result.is_ok() {
                self.calls.drain(..position).for_each(|older| older.task.abort());
            }
            return Some(EndedCall { after_version: call.after_version, is_newest, result });
        }
    }
}
