//! The hash that turns names into numbers.

use fnv::FnvHasher;
use std::hash::Hasher;

/// The 64-bit FNV-1a hash of a name. It is the same in every process and every version of the program, so
/// that balancers agree on the number of a name without communicating.
pub fn hash_name(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
