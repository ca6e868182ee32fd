use super::*;

fn complete(version: u64) -> EndpointList {
    EndpointList { version, is_complete: true, entries: Vec::new() }
}

fn changes(version: u64) -> EndpointList {
    EndpointList { is_complete: false, ..complete(version) }
}

/// Returns the order of an agent that knows version 50 of its first address.
fn order_with_version_50() -> ListOrder {
    ListOrder::new(Some(50))
}

#[test]
fn only_a_call_to_the_address_of_the_list_in_use_waits_for_changes() {
    let mut order = order_with_version_50();
    assert_eq!(order.basis().after_version(), Some(50));

    order.change_address();
    let basis = order.basis();
    assert_eq!(basis.after_version(), None);

    assert!(order.accept(basis, &complete(7)));
    assert_eq!(order.basis().after_version(), Some(7));
    assert_eq!(ListOrder::new(None).basis().after_version(), None);
}

/// Guards against changes that refer to the list of another address, if a former address comes back.
#[test]
fn an_address_that_comes_back_is_asked_for_the_complete_list() {
    let mut order = order_with_version_50();
    let former_basis = order.basis();
    order.change_address();
    order.change_address();

    assert!(!order.is_present_address(former_basis));
    assert_eq!(order.basis().after_version(), None);
}

/// Guards against a new address that is never heard because it counts its versions from 1.
#[test]
fn the_list_of_a_later_call_replaces_the_one_in_use_whatever_its_version() {
    let mut order = order_with_version_50();
    assert!(order.accept(order.basis(), &complete(49)));

    order.change_address();
    assert!(order.accept(order.basis(), &complete(1)));
}

/// Guards against a drained server that gets requests again, because a slow complete list from the new address
/// is older than the drain that the former address has sent since.
#[test]
fn a_list_does_not_replace_a_newer_one_that_has_arrived_since_its_call() {
    let mut order = order_with_version_50();
    let former_basis = order.basis();
    order.change_address();
    let basis = order.basis();
    assert!(order.accept(former_basis, &changes(51)));

    assert!(!order.accept(basis, &complete(50)));
    assert_eq!(order.basis().after_version(), None, "the complete list is requested again");
    assert!(order.accept(basis, &complete(52)));
}

#[test]
fn the_list_of_a_former_address_is_used_until_a_later_address_has_sent_one() {
    let mut order = order_with_version_50();
    order.change_address();
    let former_basis = order.basis();
    order.change_address();

    assert!(order.accept(former_basis, &changes(51)));
    assert_eq!(order.basis().after_version(), None);
}

/// Guards against a drain that a former address has sent, but that is not applied because an older complete list
/// from the present address has just arrived.
#[test]
fn newer_changes_of_a_former_address_are_used_after_an_older_complete_list() {
    let mut order = order_with_version_50();
    let former_basis = order.basis();
    order.change_address();
    assert!(order.accept(order.basis(), &complete(51)));
    let present_basis = order.basis();

    assert!(!order.accept(former_basis, &changes(51)), "nothing new");
    assert!(order.accept(former_basis, &changes(52)));
    assert!(order.accept(present_basis, &changes(52)), "the present address continues its own list");
    assert_eq!(order.basis().after_version(), Some(52));
}

/// Guards against changes that are applied to a list that does not contain what they refer to.
#[test]
fn changes_are_not_used_if_others_are_missing_between_them_and_the_list_in_use() {
    let mut order = order_with_version_50();
    let former_basis = order.basis();
    order.change_address();
    assert!(order.accept(order.basis(), &complete(3)));

    assert!(!order.accept(former_basis, &changes(51)));
    assert!(order.accept(former_basis, &complete(51)));
}
