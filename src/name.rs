//! The string type of names, which is shared and immutable.

use std::sync::Arc;

/// Name of an instance, data centre, customer, service, model, tier or backend server.
pub type Name = Arc<str>;
