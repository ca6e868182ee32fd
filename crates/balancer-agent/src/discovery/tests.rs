use super::*;
use serde_json::json;

#[test]
fn entries_without_sense_are_left_out_and_unknown_fields_skipped() {
    let list = parse_list(&json!({"seq": 7, "whole": true, "novel": 1, "hosts": [
        {"host": "a", "dial": "127.0.0.1:1", "site": "x", "health": "up", "born_ms": 5.0, "novel": {}},
        {"host": "b", "dial": "nowhere", "health": "up"},
        {"host": "c", "dial": "127.0.0.1:1", "health": "asleep"},
        {"host": 4, "dial": "127.0.0.1:1", "health": "up"},
        {"host": "d", "health": "removed", "block": -3},
        "e"]}))
    .expect("a list");
    let names: Vec<&str> = list.hosts.iter().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["a", "d"]);
    assert_eq!((list.seq, list.whole), (7, true));
    assert_eq!(list.hosts[0].born_ms, 5.0);
}

/// What a mute watch should have told counts as told 2 s after its wait, and sends to a server that has left
/// must end a drain's time later. By 2 s the next call must have been made, the balancer's pause before it
/// included.
#[tokio::test(start_paused = true)]
async fn a_mute_watch_is_given_up_in_time_to_ask_again_before_its_news_counts_as_told() {
    const MAX_PAUSE: Duration = Duration::from_millis(350);
    let mute = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = mute.local_addr().expect("an address");
    let begun = tokio::time::Instant::now();
    let watch = async { call(address, &mut None, "/v1/endpoints?after=1&wait_ms=5000", WAIT).await };
    assert_eq!(tokio::task::LocalSet::new().run_until(watch).await, None);
    let given_up = begun.elapsed();
    assert!(given_up >= WAIT, "not while it may still wait: {given_up:?}");
    assert!(given_up + MAX_PAUSE <= WAIT + Duration::from_secs(2), "{given_up:?}");
}

#[test]
fn what_is_no_list_is_none() {
    for value in [json!(null), json!([]), json!({"seq": 1}), json!({"seq": "1", "hosts": []})] {
        assert_eq!(parse_list(&value), None, "{value}");
    }
}
