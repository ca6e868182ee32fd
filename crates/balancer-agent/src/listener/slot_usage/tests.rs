//! Tests of the levels of slot usage.

use super::*;

#[test]
fn usage_is_elevated_from_a_quarter_and_high_from_a_half_of_the_slots() {
    for (open, usage) in [
        (0, SlotUsage::Low),
        (24, SlotUsage::Low),
        (25, SlotUsage::Elevated),
        (49, SlotUsage::Elevated),
        (50, SlotUsage::High),
        (100, SlotUsage::High),
    ] {
        assert_eq!(SlotUsage::of(open, 100), usage, "{open}");
    }
}
