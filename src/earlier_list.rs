//! A list version that was in force here before the present one.

use crate::name::Name;

/// A list version that was in force here before the present one.
#[derive(Clone, Debug)]
pub(crate) struct EarlierList {
    /// Its members, sorted.
    pub(crate) members: Vec<Name>,
    /// Its version.
    pub(crate) version: u64,
}
