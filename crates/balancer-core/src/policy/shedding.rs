//! Load shedding: the order in which requests are rejected, by class and tenant, when the fleet cannot serve
//! all of them.

mod class_order;
mod shedder;
mod traffic;

pub use class_order::ShedOrder;
pub use shedder::LoadShedder;
