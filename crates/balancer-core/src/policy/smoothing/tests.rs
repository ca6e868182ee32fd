//! Tests of averages, decaying sums and the median.

use super::*;
use crate::test_support::assert_close;

#[test]
fn recent_average_moves_by_its_gain() {
    let mut average = 1.0;

    update_recent_average(&mut average, 2.0);

    assert_close(average, 1.12);
}

#[test]
fn typical_value_rises_a_quarter_as_fast_as_it_falls() {
    let (mut falling, mut rising) = (1.0, 1.0);

    update_typical_value(&mut falling, 0.0);
    update_typical_value(&mut rising, 2.0);

    assert_close(falling, 0.96);
    assert_close(rising, 1.01);
}

#[test]
fn decaying_sum_begins_at_zero() {
    assert_eq!(DecayingSum::default().value_at(Time::from_millis(5)), 0.0);
}

#[test]
fn decaying_sum_decays_to_one_in_e_after_its_time_constant() {
    let mut sum = DecayingSum::default();

    sum.add(Time::from_millis(1000), 100.0, 3.0);

    assert_close(sum.value_at(Time::from_millis(1000)), 3.0);
    assert_close(sum.value_at(Time::from_millis(1100)), 3.0 / std::f64::consts::E);
}

#[test]
fn amount_is_added_to_the_decayed_sum() {
    let mut sum = DecayingSum::default();
    sum.add(Time::from_millis(1000), 100.0, 3.0);

    sum.add(Time::from_millis(1100), 100.0, 2.0);

    assert_close(sum.value_at(Time::from_millis(1100)), 2.0 + 3.0 / std::f64::consts::E);
}

#[test]
fn median_is_the_upper_one_of_an_even_number_of_values() {
    assert_eq!(median([4.0, 1.0, 3.0, 2.0].into_iter()), Some(3.0));
    assert_eq!(median([5.0, 1.0, 3.0].into_iter()), Some(3.0));
}

#[test]
fn no_values_have_no_median() {
    assert_eq!(median(std::iter::empty()), None);
}
