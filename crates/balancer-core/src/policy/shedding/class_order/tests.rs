//! Tests of the order in which classes are shed.

use super::*;
use crate::{GoalWeights, Request, RequestClass, RequestId, Span, Time};

/// Ranks two classes of equal traffic and work whose requests have these values.
fn order_of(values: [f64; 2], goal: GoalWeights, value_basis: ValueBasis) -> Vec<ShedOrder> {
    let class = |&priority_weight| RequestClass { priority_weight, ..RequestClass::default() };
    let classes = values.iter().map(class).collect();
    let settings = Settings { classes, value_basis, goal, ..Settings::default() };
    let mut traffic = Traffic::new(2, 0);
    for class in [0, 1] {
        traffic.count(Time::EPOCH, &Request::new(RequestId(1), ClassId(class), Span::from_millis(100)));
    }
    rank_classes(&settings, &traffic, &FleetLatency::new(2))
}

#[test]
fn the_class_of_least_value_is_shed_first() {
    for basis in [ValueBasis::Requests, ValueBasis::Work] {
        assert_eq!(order_of([5.0, 1.0], GoalWeights::default(), basis), [ShedOrder::Last, ShedOrder::First]);
        assert_eq!(order_of([1.0, 5.0], GoalWeights::default(), basis), [ShedOrder::First, ShedOrder::Last]);
    }
}

/// Shedding one class already costs the whole term of the goal that depends on the worst class. Shedding both
/// classes then has the lowest cost per work freed.
#[test]
fn classes_are_shed_together_where_the_worst_class_decides() {
    let goal = GoalWeights { overall: 0.0, worst_class: 1.0, ..GoalWeights::default() };

    assert_eq!(order_of([5.0, 1.0], goal, ValueBasis::Requests), [ShedOrder::First, ShedOrder::First]);
}

#[test]
fn classes_without_traffic_are_shed_first() {
    let settings = Settings { classes: vec![RequestClass::default(); 2], ..Settings::default() };

    let order = rank_classes(&settings, &Traffic::new(2, 0), &FleetLatency::new(2));

    assert_eq!(order, [ShedOrder::First, ShedOrder::First]);
}
