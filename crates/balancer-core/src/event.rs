//! Events, which a balancer receives, and actions, which it asks its caller to carry out.

use crate::endpoint::EndpointUpdate;
use crate::ids::{AttemptNumber, ClassId, PeerId, RequestId, RoutingKey, ServerId, TenantId, TimerId};
use crate::notice::Notice;
use crate::time::{Span, Time};

/// A request that a client has handed over.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that sent it.
    pub tenant: Option<TenantId>,
    /// The object that it concerns.
    pub routing_key: Option<RoutingKey>,
    /// A guess at its work, in core time.
    pub cost_hint: Option<Span>,
    /// The client says that it is a retry of its own. Not used by decisions.
    pub is_client_retry: bool,
    /// How long the client still waits for an answer to it.
    pub time_left: Span,
}

impl Request {
    /// A first try without tenant, routing key or cost hint.
    pub fn new(id: RequestId, class: ClassId, time_left: Span) -> Self {
        Request {
            id,
            class,
            tenant: None,
            routing_key: None,
            cost_hint: None,
            is_client_retry: false,
            time_left,
        }
    }
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; the request may have run.
    ServerError,
    /// The server rejected it unprocessed.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection could be made in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent: the request was over, or its attempts or time were used up.
    NotSent,
}

impl Outcome {
    /// True if this outcome proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A server's load report.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    values: Vec<f64>,
}

impl LoadReport {
    /// A report of these values, in the order of
    /// [`Settings::load_report_fields`](crate::Settings::load_report_fields). A value that is missing or not
    /// plausible is ignored by the balancer.
    pub fn new(values: Vec<f64>) -> Self {
        LoadReport { values }
    }

    /// The values, in the order of [`Settings::load_report_fields`](crate::Settings::load_report_fields).
    pub fn values(&self) -> &[f64] {
        &self.values
    }
}

/// An input of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Request(Request),
    /// A stream has begun; the request is bound to this attempt.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that it is bound to.
        attempt: AttemptNumber,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's load report, if one came.
        load_report: Option<LoadReport>,
        /// The request has its final answer; otherwise one is still owed.
        is_request_finished: bool,
    },
    /// The client has disconnected; no answer is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    TimerDue(TimerId),
    /// A health check is over.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's load report, if one came.
        load_report: Option<LoadReport>,
    },
    /// News of the endpoint list.
    Endpoints(EndpointUpdate),
    /// Gossip from another balancer.
    Gossip {
        /// Who sent it.
        from: PeerId,
        /// What it holds.
        payload: Vec<u8>,
    },
}

/// An output of the balancer, to be carried out by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request are numbered in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
        /// Its last byte must be written by then: the servers drop this retry no longer.
        write_by: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Final answer: rejected, and harmless to try again.
    Reject {
        /// The request.
        request: RequestId,
        /// When a retry makes sense, if that is known.
        retry_after: Option<Span>,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the balancer at this time; timers are never unset.
    SetTimer {
        /// When.
        at: Time,
        /// The name that [`Event::TimerDue`] brings back.
        timer: TimerId,
    },
    /// Send a health check.
    CheckHealth {
        /// Where to.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one other balancer, or to all.
    Gossip {
        /// Whom; `None` for all.
        to: Option<PeerId>,
        /// What.
        payload: Vec<u8>,
    },
    /// Open a watch of the endpoint list, in place of the one there may be.
    WatchEndpoints,
    /// Tell the operators.
    Notify(Notice),
}
