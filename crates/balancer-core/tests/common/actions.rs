//! Searches in lists of actions.

use balancer_core::{Action, RequestId, ServerId};

/// The server that the first of these attempts of a request is sent to.
pub fn find_target(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    })
}

/// Whether an action sends an attempt.
pub fn is_send(action: &Action) -> bool {
    matches!(action, Action::Send { .. })
}

/// Whether these actions reject a request.
pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { request, .. } if *request == id))
}

/// Whether these actions fail a request.
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { request } if *request == id))
}
