//! The shared immutable string that every name is.

use std::sync::Arc;

/// Name of an instance, data centre, customer, service, model, tier or backend server.
pub type Name = Arc<str>;
