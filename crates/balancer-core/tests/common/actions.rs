//! Functions that search the actions of a balancer.

use balancer_core::{Action, RequestId, ServerId};

/// Returns the server of the first action that sends an attempt of this request.
pub fn find_target(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    })
}

/// Returns whether an action sends an attempt.
pub fn is_send(action: &Action) -> bool {
    matches!(action, Action::Send { .. })
}

/// Returns whether one of these actions rejects a request.
pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { request, .. } if *request == id))
}

/// Returns whether one of these actions fails a request.
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { request } if *request == id))
}
