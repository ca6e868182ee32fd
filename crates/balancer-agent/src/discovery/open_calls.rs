//! The calls that wait for their responses, at the present address of discovery and at former ones.

use super::call::{Call, CallError, CallResponse};
use super::connector::Connector;
use super::list_order::CallBasis;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, Instant};

/// How long a call may take in addition to its wait at discovery before its response is overdue. The protocol
/// assumes that the agent is notified of a change no later than 2 s after the end of the wait (PROTOCOL page,
/// "Figures"). If a response is overdue, the next call must start within these 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long after a change of the address the former one closes its connections (TERMS page,
/// "Reconfiguration").
const FORMER_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// How long a call stays open after a list from a later call has arrived. A response that arrived at about the
/// same time may contain a newer list, and then counts as received.
const GIVE_UP_DELAY: Duration = Duration::from_millis(100);
/// The maximum number of calls that wait for their responses at a time, at all addresses. Each has a
/// connection of its own.
const MAX_OPEN_CALLS: usize = 4;

/// The calls that wait for their responses. Dropping the value closes their connections.
pub struct OpenCalls<C> {
    connector: Rc<C>,
    /// Oldest first.
    calls: Vec<OpenCall>,
    tasks: JoinSet<Result<CallResponse, CallError>>,
    /// The number of calls that have been made.
    call_count: u64,
}

struct OpenCall {
    number: CallNumber,
    task: AbortHandle,
    basis: CallBasis,
    response_due_at: Instant,
    /// When discovery closes the connection, because its address has changed since the call was made.
    address_closes_at: Option<Instant>,
    /// When the call is given up, because a list from a later call has arrived.
    give_up_at: Option<Instant>,
}

/// The number of a call. Calls that are made later have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(u64);

/// A call that has ended.
pub struct EndedCall {
    /// The number of the call.
    pub number: CallNumber,
    /// What was known when the call was made.
    pub basis: CallBasis,
    /// Whether no call that was made later is open.
    pub is_newest: bool,
    /// The response, or why the call failed.
    pub result: Result<CallResponse, CallError>,
}

impl<C: Connector> OpenCalls<C> {
    /// Creates an empty set of calls, whose connections `connector` will open.
    pub fn new(connector: Rc<C>) -> Self {
        OpenCalls { connector, calls: Vec::new(), tasks: JoinSet::new(), call_count: 0 }
    }

    /// Makes a call in a separate task. If too many calls are open, gives up one of them.
    pub fn open(&mut self, call: Call) {
        if self.calls.len() == MAX_OPEN_CALLS {
            self.give_up_one();
        }
        self.call_count += 1;
        self.calls.push(OpenCall {
            number: CallNumber(self.call_count),
            basis: call.basis,
            response_due_at: Instant::now() + call.wait() + RESPONSE_TIMEOUT,
            address_closes_at: None,
            give_up_at: None,
            task: self.tasks.spawn_local(call.make(self.connector.clone())),
        });
    }

    /// Gives up the call that is least likely to be the next one that receives a newer list.
    ///
    /// This is a call that would soon be given up anyway or that discovery should have closed already, or else
    /// the latest call to a former address. If there is none, it is the second oldest: a slow discovery service
    /// is likely to respond to the oldest call first.
    fn give_up_one(&mut self) {
        let now = Instant::now();
        let is_ending = |call: &OpenCall| {
            call.give_up_at.is_some() || call.address_closes_at.is_some_and(|closes_at| closes_at <= now)
        };
        let ending = self.calls.iter().position(is_ending);
        let latest_former = || self.calls.iter().rposition(|call| call.address_closes_at.is_some());
        let position = ending.or_else(latest_former).unwrap_or(1);
        self.calls.remove(position).task.abort();
    }

    /// Gives up the calls that were made before a call that received a list, after a short time for responses
    /// that are arriving now.
    pub fn give_up_before(&mut self, number: CallNumber) {
        let give_up_at = Instant::now() + GIVE_UP_DELAY;
        for call in self.calls.iter_mut().filter(|call| call.number < number) {
            call.give_up_at.get_or_insert(give_up_at);
        }
    }

    /// Closes the calls whose time to be given up has come.
    fn close_given_up(&mut self) {
        let now = Instant::now();
        self.calls.retain(|call| {
            let is_open = call.give_up_at.is_none_or(|give_up_at| now < give_up_at);
            if !is_open {
                call.task.abort();
            }
            is_open
        });
    }

    /// Records that the address of discovery has changed. The open calls stay open: until the new address has
    /// responded, a response from a former one contains the latest list.
    pub fn change_address(&mut self) {
        let closes_at = Instant::now() + FORMER_ADDRESS_CLOSE_DELAY;
        for call in &mut self.calls {
            call.address_closes_at.get_or_insert(closes_at);
        }
    }

    /// Returns when the response to the newest call is overdue, or `None` if no call is open.
    pub fn newest_due_at(&self) -> Option<Instant> {
        self.calls.last().map(|call| call.response_due_at)
    }

    /// Waits until a call ends. Returns `None` if no call is open.
    pub async fn next_ended(&mut self) -> Option<EndedCall> {
        loop {
            let give_up_at = self.calls.iter().filter_map(|call| call.give_up_at).min();
            let joined = tokio::select! {
                biased;
                joined = self.tasks.join_next_with_id() => joined?,
                () = wait_until(give_up_at) => {
                    self.close_given_up();
                    continue;
                }
            };
            let (id, result) = match joined {
                Ok((id, result)) => (id, result),
                Err(error) => (error.id(), Err(CallError::Panicked)),
            };
            // A call that was closed is no longer in the list.
            let Some(position) = self.calls.iter().position(|call| call.task.id() == id) else { continue };
            let is_newest = position + 1 == self.calls.len();
            let call = self.calls.remove(position);
            return Some(EndedCall { number: call.number, basis: call.basis, is_newest, result });
        }
    }
}

/// Waits until a moment, or forever if there is none.
pub async fn wait_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => sleep_until(moment).await,
        None => pending().await,
    }
}
