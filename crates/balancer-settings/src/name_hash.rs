//! The hash function for names.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Returns the 64-bit FNV-1a hash of a name. The hash is the same in every process and every version of the
/// program, so that balancers derive the same ids from the same names without communicating.
pub fn hash_name(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
