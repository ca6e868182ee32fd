//! Tests of the counts of recent traffic.

use super::*;
use crate::{ClassId, RequestId, Span, TenantId};

fn request(class: usize, tenant: Option<usize>) -> Request {
    let request = Request::new(RequestId(1), ClassId(class), Span::from_millis(100));
    Request { tenant: tenant.map(TenantId), ..request }
}

#[test]
fn requests_count_for_their_class_and_tenant() {
    let mut traffic = Traffic::new(2, 3);
    let now = Time::from_millis(1000);

    traffic.count(now, &request(1, Some(2)));
    traffic.count(now, &request(1, None));

    assert_eq!(traffic.by_class, [0.0, 2.0]);
    assert_eq!(traffic.by_tenant, [0.0, 0.0, 1.0]);
}

#[test]
fn request_of_an_unknown_tenant_counts_for_its_class_only() {
    let mut traffic = Traffic::new(1, 1);

    traffic.count(Time::from_millis(1000), &request(0, Some(7)));

    assert_eq!(traffic.by_class, [1.0]);
    assert_eq!(traffic.by_tenant, [0.0]);
}

#[test]
fn counts_decay_to_one_in_e_after_three_seconds() {
    let mut traffic = Traffic::new(2, 1);
    traffic.count(Time::from_millis(1000), &request(0, Some(0)));

    traffic.count(Time::from_millis(4000), &request(1, None));

    let expected = 1.0 / std::f64::consts::E;
    assert!((traffic.by_class[0] - expected).abs() < 1e-9, "{:?}", traffic.by_class);
    assert!((traffic.by_tenant[0] - expected).abs() < 1e-9, "{:?}", traffic.by_tenant);
    assert_eq!(traffic.by_class[1], 1.0);
}
