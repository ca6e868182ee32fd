//! Events, which a balancer receives, and actions, which it asks its caller to carry out.

use crate::endpoint::EndpointUpdate;
use crate::ids::{AttemptNumber, ClassId, PeerId, RequestId, RoutingKey, ServerId, TenantId, TimerId};
use crate::notice::Notice;
use crate::time::{Span, Time};

/// A new request from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that sent it.
    pub tenant: Option<TenantId>,
    /// The object that it concerns, if servers can serve a known one with less work.
    pub routing_key: Option<RoutingKey>,
    /// The client's estimate of its work, in time of one core.
    pub cost_hint: Option<Span>,
    /// The client says that it is a retry of its own. Decisions do not use it.
    pub is_client_retry: bool,
    /// How long the client still waits for its answer.
    pub time_left: Span,
}

impl Request {
    /// A first attempt of a client, without tenant, routing key or cost hint.
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
    /// No answer in time; it may have run or still be running.
    TimedOut,
    /// No connection could be made in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent: the request had ended, or its attempts or time were used up.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request did not run.
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
    /// The answer has begun to stream; the request is bound to this attempt.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that it is bound to.
        attempt: AttemptNumber,
    },
    /// An attempt has ended.
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
        /// The request has its final answer; otherwise one is still pending.
        is_request_finished: bool,
    },
    /// The client has disconnected and needs no answer any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    TimerDue(TimerId),
    /// A health check has ended.
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
    /// A change of the endpoint list, or a failure to learn of changes.
    Endpoints(EndpointUpdate),
    /// Gossip from another balancer.
    Gossip {
        /// The sender.
        from: PeerId,
        /// The contents.
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
        /// The server to send it to.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
        /// Its last byte must be written by then; later the servers would no longer recognise it as a repeat.
        write_by: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Final answer: rejected; a retry by the client has no second effect.
    Reject {
        /// The request.
        request: RequestId,
        /// After how long a retry makes sense, if that is known.
        retry_after: Option<Span>,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the balancer at this time with [`Event::TimerDue`]. Timers are never cancelled.
    SetTimer {
        /// When.
        at: Time,
        /// The timer to report as due.
        timer: TimerId,
    },
    /// Send a health check.
    CheckHealth {
        /// The server to check.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one other balancer, or to all.
    Gossip {
        /// The receiver; `None` for all.
        to: Option<PeerId>,
        /// The contents.
        payload: Vec<u8>,
    },
    /// Open a watch of the endpoint list; it replaces an open one.
    WatchEndpoints,
    /// Log something for the operators.
    Notify(Notice),
}
