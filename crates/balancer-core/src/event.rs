//! The inputs and outputs of a balancer: [`Event`]s, and the [`Action`]s that its host carries out.

use crate::endpoint::EndpointUpdate;
use crate::ids::{AttemptNumber, ClassId, PeerId, RequestId, RoutingKey, ServerId, TenantId, TimerId};
use crate::notice::Notice;
use crate::time::{Span, Time};

/// A new request from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant that sent the request, if there is one.
    pub tenant: Option<TenantId>,
    /// The key of the object that the request concerns, if a server that has recently served the same object
    /// needs less work for the request.
    pub routing_key: Option<RoutingKey>,
    /// The client's estimate of the request's work, as the time that one core needs for it.
    pub cost_hint: Option<Span>,
    /// Whether the client marked the request as a retry of its own.
    pub is_client_retry: bool,
    /// How long the client still waits for the response.
    pub time_left: Span,
}

impl Request {
    /// Creates a request that is not a client's retry, without a tenant, routing key or cost hint.
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
    /// The server served the request.
    Success,
    /// The server responded with an error. The request may have run.
    ServerError,
    /// The server rejected the request. The request did not run.
    Rejected,
    /// No response came in time. The request may have run or may still be running.
    TimedOut,
    /// No connection could be established in time; or, before the last byte of the attempt was written, the
    /// attempt timed out, its connection broke or the server violated the protocol. The request did not run.
    ConnectFailed,
    /// The connection broke. The request may have run.
    ConnectionReset,
    /// The attempt was cancelled. The request may have run.
    Cancelled,
    /// The host did not send the attempt or the health check, or cancelled the attempt before its last byte
    /// was written. The request did not run.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Values that describe the load of a server, sent by that server.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    values: Vec<f64>,
}

impl LoadReport {
    /// Creates a report from its values, in the order of
    /// [`Settings::load_report_fields`](crate::Settings::load_report_fields). The balancer ignores values
    /// that are missing or implausible.
    pub fn new(values: Vec<f64>) -> Self {
        LoadReport { values }
    }

    /// Returns the values, in the order of
    /// [`Settings::load_report_fields`](crate::Settings::load_report_fields).
    pub fn values(&self) -> &[f64] {
        &self.values
    }
}

/// An input of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Request(Request),
    /// The response to a streaming request has begun. From now on, the request is bound to this attempt.
    FirstByte {
        /// The id of the request.
        request: RequestId,
        /// The number of the attempt whose response has begun.
        attempt: AttemptNumber,
    },
    /// A part of the response to an attempt has arrived. Any attempt may still supply the response to the
    /// request. Hosts that do not see the parts of a response need not send this event.
    ResponseProgress {
        /// The id of the request.
        request: RequestId,
        /// The number of the attempt whose response is arriving.
        attempt: AttemptNumber,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The id of the request.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: Outcome,
        /// The time since the attempt was sent.
        elapsed: Span,
        /// The server's load report, if one was received.
        load_report: Option<LoadReport>,
        /// Whether the client has received its final response; if not, the balancer must still provide one.
        is_request_finished: bool,
    },
    /// The client has disconnected, so the request no longer needs a final response.
    ClientDisconnected {
        /// The id of the request.
        request: RequestId,
    },
    /// A timer that was set by [`Action::SetTimer`] is due.
    TimerDue(TimerId),
    /// A health check has ended.
    HealthChecked {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// The time since the check was sent.
        elapsed: Span,
        /// The server's load report, if one was received.
        load_report: Option<LoadReport>,
    },
    /// The endpoint list has changed, or the watch of the list has failed.
    Endpoints(EndpointUpdate),
    /// A gossip message has arrived from another balancer.
    Gossip {
        /// The balancer that sent the message.
        from: PeerId,
        /// The contents of the message.
        payload: Vec<u8>,
    },
}

/// An output of the balancer, to be carried out by its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt. Attempts of a request are numbered in the order in which they are sent.
    Send {
        /// The id of the request.
        request: RequestId,
        /// The server that the attempt is sent to.
        server: ServerId,
        /// The moment at which the attempt times out.
        timeout_at: Time,
        /// The deadline for writing the last byte of the attempt, if there is one. After this time, servers
        /// would no longer recognise the attempt as a retry and might run the request a second time.
        write_by: Option<Time>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The id of the request.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Reject the request. The rejection is the final response to the request, and a retry by the client
    /// cannot duplicate the effect of the request.
    Reject {
        /// The id of the request.
        request: RequestId,
        /// The delay after which the client should retry; `None` if there is no advice for the client.
        retry_after: Option<Span>,
    },
    /// Fail the request. The failure is the final response to the request, which may have run.
    Fail {
        /// The id of the request.
        request: RequestId,
    },
    /// Pass [`Event::TimerDue`] to the balancer at the given time. Timers are never cancelled.
    SetTimer {
        /// The time at which the timer is due.
        at: Time,
        /// The timer that the event names.
        timer: TimerId,
    },
    /// Send a health check to a server.
    CheckHealth {
        /// The server to check.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdle {
        /// The server whose connections are closed.
        server: ServerId,
    },
    /// Send a gossip message to one other balancer, or to all of them.
    Gossip {
        /// The receiver; `None` stands for all other balancers.
        to: Option<PeerId>,
        /// The contents of the message.
        payload: Vec<u8>,
    },
    /// Open a watch of the endpoint list, or continue it after [`EndpointUpdate::Failed`].
    WatchEndpoints,
    /// Log a notice for the operators.
    Notify(Notice),
}
