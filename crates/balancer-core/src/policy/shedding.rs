//! Load shedding: which classes and tenants are rejected first when not everything can be served.

mod class_order;
mod shedder;
mod traffic;

pub use class_order::ShedOrder;
pub use shedder::LoadShedder;
