//! The order of lists: which list replaces the one in use.
//!
//! A version counts the changes of the list and only grows, but no page says that a new address of discovery
//! continues the count of the former one. Versions therefore decide only between lists that were requested at
//! the same time; otherwise the list that was requested later is the newer one.

use crate::endpoint_list::EndpointList;

/// The list in use. Lists that were requested at the same time are ordered by their fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ListInUse {
    version: u64,
    /// The number of the address that sent the list.
    address_number: u64,
}

/// What was known when a call was made.
#[derive(Debug, Clone, Copy)]
pub struct CallBasis {
    /// The number of the address that the call was made to.
    address_number: u64,
    /// The list that was in use, if there was one.
    list: Option<ListInUse>,
}

impl CallBasis {
    /// Returns the version whose changes the call waits for, or `None` if it requests the complete list,
    /// because the list in use is from another address.
    pub fn after_version(&self) -> Option<u64> {
        let list = self.list.filter(|list| list.address_number == self.address_number)?;
        Some(list.version)
    }
}

/// The list in use, and the number of the present address.
pub struct ListOrder {
    /// The number of times that the address has changed. An address that comes back gets a new number.
    address_number: u64,
    list: Option<ListInUse>,
}

impl ListOrder {
    /// Creates the order for a first address, which has sent the list with `version`, if there is one.
    pub fn new(version: Option<u64>) -> Self {
        let address_number = 0;
        ListOrder { address_number, list: version.map(|version| ListInUse { version, address_number }) }
    }

    /// Records that the address of discovery has changed. The list in use stays in use.
    pub fn change_address(&mut self) {
        self.address_number += 1;
    }

    /// Returns the basis of a call that is made to the present address now.
    pub fn basis(&self) -> CallBasis {
        CallBasis { address_number: self.address_number, list: self.list }
    }

    /// Returns whether a call was made to the present address.
    pub fn is_present_address(&self, basis: CallBasis) -> bool {
        basis.address_number == self.address_number
    }

    /// Returns whether the list that a call received replaces the list in use or continues it, and records it if
    /// so.
    ///
    /// If another list has arrived since the call was made, the list with the higher version is used, or else
    /// that of the later address. Changes are used only if they begin with the list in use or before it.
    pub fn accept(&mut self, basis: CallBasis, received: &EndpointList) -> bool {
        let list = ListInUse { version: received.version, address_number: basis.address_number };
        if let Some(arrived_since) = self.list.filter(|_| self.list != basis.list) {
            let leaves_gap = !received.is_complete && basis.after_version() > Some(arrived_since.version);
            if list < arrived_since || leaves_gap {
                return false;
            }
        }
        self.list = Some(list);
        true
    }
}

#[cfg(test)]
mod tests;
