//! An inventory without findings.

/// Text of the inventory.
pub const VALID_INVENTORY: &str = "\
[inventory]
version = 7
instances_version = 2
[data_centre umea-a]
[data_centre umea-b]
[instance entry-1]
data_centre = umea-a
caller_address = 10.0.0.1:8080
peer_address = 10.0.0.1:8081
[model draft]
[service plans]
kind = model
model = draft
[service desk]
kind = plain
[backend_server engine-1]
service = plans
data_centre = umea-b
address = 10.0.0.2:9000
token_limit_tokens = 4096
prefill_tokens_per_s = 2000
[tier high]
rank = 0
deadline_ms = 30000
first_token_ms = 1000
between_tokens_ms = 200
[tier low]
rank = 1
deadline_ms = 60001
first_token_ms = 5000
between_tokens_ms = 500
[customer norr]
weight = 4
tier = low
[rule bookings]
service = desk
path = bookings
tier = high
idempotent = false
[rule status]
service = desk
path = status
idempotent = true
";
