//! Tests of how tenants' shares are enforced.

use super::*;
use crate::{RequestId, Span, Tenant, TenantId};

fn request(tenant: Option<usize>) -> Request {
    let request = Request::new(RequestId(1), ClassId(0), Span::from_millis(100));
    Request { tenant: tenant.map(TenantId), ..request }
}

fn settings(over_share_value: f64) -> Settings {
    let tenant = Tenant { share: 0.5, ..Tenant::default() };
    Settings { tenants: vec![tenant; 2], over_share_value, ..Settings::default() }
}

/// Counts how many of a thousand requests of a tenant are over its share, after this tenant has sent `own`
/// requests and another tenant `others`.
fn over_share_of_a_thousand(settings: &Settings, own: usize, others: usize) -> usize {
    let mut shedder = LoadShedder::new(1, 2);
    for _ in 0..own {
        shedder.count(Time::EPOCH, &request(Some(0)));
    }
    for _ in 0..others {
        shedder.count(Time::EPOCH, &request(Some(1)));
    }
    let mut rng = fastrand::Rng::with_seed(1);
    (0..1000).filter(|_| shedder.is_over_share(settings, &request(Some(0)), &mut rng)).count()
}

#[test]
fn a_tenant_within_its_share_and_slack_is_not_over_it() {
    assert_eq!(over_share_of_a_thousand(&settings(0.1), 69, 31), 0);
}

/// The tenant has sent 90 of 100 requests and may send 70, so 20 of its 90 are over its share.
#[test]
fn the_excess_of_a_tenant_is_over_its_share() {
    let over_share = over_share_of_a_thousand(&settings(0.1), 90, 10);

    assert!((150..300).contains(&over_share), "{over_share}");
}

#[test]
fn shares_do_not_matter_where_the_excess_keeps_its_value() {
    assert_eq!(over_share_of_a_thousand(&settings(1.0), 90, 10), 0);
}

#[test]
fn requests_without_a_known_tenant_are_never_over_a_share() {
    let shedder = LoadShedder::new(1, 2);
    let mut rng = fastrand::Rng::with_seed(1);

    assert!(!shedder.is_over_share(&settings(0.1), &request(None), &mut rng));
    assert!(!shedder.is_over_share(&settings(0.1), &request(Some(7)), &mut rng));
}
