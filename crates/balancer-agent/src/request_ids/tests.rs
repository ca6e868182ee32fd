//! Tests of which ids can be claimed.

use super::*;

#[test]
fn an_id_can_be_claimed_again_once_its_request_has_ended_without_running() {
    let ids = RequestIds::default();
    let claim = ids.claim("a").expect("the id is new");
    assert_eq!(ids.claim("a").err(), Some(ClaimError::InUse));
    assert!(ids.claim("b").is_ok());

    drop(claim);

    assert!(ids.claim("a").is_ok());
}

#[tokio::test(start_paused = true)]
async fn an_id_that_may_have_run_is_refused_for_the_retention_time() {
    let ids = RequestIds::default();
    let claim = ids.claim("a").expect("the id is new");
    claim.record_possible_run();
    assert_eq!(ids.claim("a").err(), Some(ClaimError::InUse));
    drop(claim);

    tokio::time::advance(RETENTION_TIME.mul_f64(0.99)).await;
    assert_eq!(ids.claim("a").err(), Some(ClaimError::MayHaveRun));
    tokio::time::advance(RETENTION_TIME.mul_f64(0.01)).await;

    assert!(ids.claim("a").is_ok());
    assert!(ids.registry.borrow().states.is_empty(), "forgotten ids take no memory");
}

#[test]
fn the_number_of_retained_ids_is_limited_and_the_newest_are_kept() {
    let ids = RequestIds::default();
    for number in 0..=MAX_RETAINED_IDS {
        let claim = ids.claim(&number.to_string()).expect("the id is new");
        claim.record_possible_run();
    }

    assert!(ids.claim("0").is_ok());
    assert_eq!(ids.claim("1").err(), Some(ClaimError::MayHaveRun));
    assert_eq!(ids.claim(&MAX_RETAINED_IDS.to_string()).err(), Some(ClaimError::MayHaveRun));
    assert_eq!(ids.registry.borrow().retained.len(), MAX_RETAINED_IDS);
}
