//! Tests of how long the names of removed servers are retained.

use super::*;
use std::collections::HashSet;
use tokio::time::advance;

fn complete_list(server: ServerId) -> ServerList {
    ServerList { endpoints: Vec::new(), all_servers: Some(HashSet::from([server])) }
}

#[tokio::test(start_paused = true)]
async fn the_name_of_a_removed_server_is_forgotten_after_the_retention_time() {
    let mut names = RetainedServerNames::default();
    let listed = names.intern("listed");
    let removed = names.intern("removed");

    names.record_list(&complete_list(listed));
    advance(NAME_RETENTION / 2).await;
    names.record_list(&complete_list(listed));
    assert_eq!(names.name(removed), Some("removed"));

    advance(NAME_RETENTION / 2).await;
    names.record_list(&complete_list(listed));
    assert_eq!(names.name(removed), None);
    assert_eq!(names.name(listed), Some("listed"));
}
