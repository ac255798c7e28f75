//! An earlier instance list, which membership keeps until the list is retired.

use crate::name::Name;

/// An instance list that was in force at this instance before the current one.
#[derive(Clone, Debug)]
pub(crate) struct EarlierList {
    /// Its members, sorted.
    pub(crate) members: Vec<Name>,
    /// Its version.
    pub(crate) version: u64,
}
