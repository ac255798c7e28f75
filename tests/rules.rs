//! Tests of the operators' rules on a request's tier and idempotence.
//!
//! A path such as `status/../bookings` would match the rule that lets `status` be repeated, and run
//! `bookings` at the server. Therefore only paths in normal form are accepted.

use bergamotspan::inventory::Inventory;
use bergamotspan::parse_inventory::parse_inventory;
use bergamotspan::request_path::{is_rule_path, path_matches};
use bergamotspan::rules::{RuleError, RuleQuery, apply_rules};

const INVENTORY: &str = "
[inventory]
version = 1
instances_version = 1
[data_centre a]
[instance entry-1]
data_centre = a
caller_address = 10.0.0.1:8080
peer_address = 10.0.0.1:8081
[service desk]
kind = plain
[tier high]
rank = 0
deadline_ms = 10000
first_token_ms = 1000
between_tokens_ms = 100
[tier middle]
rank = 1
deadline_ms = 10000
first_token_ms = 1000
between_tokens_ms = 100
[tier low]
rank = 2
deadline_ms = 10000
first_token_ms = 1000
between_tokens_ms = 100
[customer large]
weight = 4
tier = middle
[customer small]
weight = 1
tier = low
[rule urgent]
customer = small
path = status/urgent
tier = high
[rule status]
service = desk
path = status
tier = middle
idempotent = true
";

/// Builds a query; the defaults match no rule.
struct QueryBuilder {
    query: RuleQuery<'static>,
}

impl QueryBuilder {
    fn new() -> Self {
        let query =
            RuleQuery { customer: "small", path: "", requested_tier: None, service: "desk" };
        Self { query }
    }

    fn customer(mut self, customer: &'static str) -> Self {
        self.query.customer = customer;
        self
    }

    fn path(mut self, path: &'static str) -> Self {
        self.query.path = path;
        self
    }

    fn requested_tier(mut self, tier: &'static str) -> Self {
        self.query.requested_tier = Some(tier);
        self
    }

    fn service(mut self, service: &'static str) -> Self {
        self.query.service = service;
        self
    }

    fn assert_match(self, tier: &str, idempotent: bool) {
        let inventory = inventory();

        let rule_match = apply_rules(&inventory, &self.query).unwrap();

        assert_eq!((&*rule_match.tier.name, rule_match.idempotent), (tier, idempotent));
        assert_eq!(&*rule_match.customer.name, self.query.customer);
        assert_eq!(&*rule_match.service.name, self.query.service);
    }

    fn assert_error(self, http_status: u16, message: &str) {
        let error = apply_rules(&inventory(), &self.query).unwrap_err();

        assert_eq!((error.http_status(), error.to_string().as_str()), (http_status, message));
    }
}

fn inventory() -> Inventory {
    parse_inventory("test.ini", INVENTORY).unwrap()
}

#[test]
fn customer_and_service_decide_without_a_rule() {
    QueryBuilder::new().assert_match("low", false);
    QueryBuilder::new().customer("large").path("bookings").assert_match("middle", false);
}

#[test]
fn the_first_rule_that_sets_it_decides_tier_and_idempotence() {
    QueryBuilder::new().path("status/urgent/7").assert_match("high", true);
}

#[test]
fn a_rule_of_another_customer_does_not_match() {
    QueryBuilder::new().customer("large").path("status/urgent").assert_match("middle", true);
}

#[test]
fn a_path_matches_by_whole_segments() {
    QueryBuilder::new().path("status").assert_match("middle", true);
    QueryBuilder::new().path("/status/").assert_match("middle", true);
    QueryBuilder::new().path("status?of=7").assert_match("middle", true);
    QueryBuilder::new().path("statuses").assert_match("low", false);
    QueryBuilder::new().path("my/status").assert_match("low", false);
}

#[test]
fn a_caller_may_lower_its_tier() {
    QueryBuilder::new().path("status").requested_tier("low").assert_match("low", true);
}

#[test]
fn a_caller_may_ask_for_the_tier_that_it_has() {
    QueryBuilder::new().path("status").requested_tier("middle").assert_match("middle", true);
}

#[test]
fn a_caller_may_not_raise_its_tier() {
    QueryBuilder::new()
        .path("status")
        .requested_tier("high")
        .assert_error(400, "Tier 'high' is above tier 'middle', which the rules give.");
}

#[test]
fn unknown_names_are_errors_with_the_nearest() {
    QueryBuilder::new()
        .service("desc")
        .assert_error(404, "Unknown service 'desc'; did you mean 'desk'?");
    QueryBuilder::new()
        .customer("smal")
        .assert_error(403, "Unknown customer 'smal'; did you mean 'small'?");
    QueryBuilder::new()
        .requested_tier("hihg")
        .assert_error(400, "Unknown tier 'hihg'; did you mean 'high'?");
    QueryBuilder::new().customer("").assert_error(403, "Unknown customer ''.");
}

#[test]
fn paths_that_servers_may_interpret_differently_are_errors() {
    let paths = [
        "status/../bookings",
        "status/./x",
        "status//x",
        "//status",
        "status/%2e%2e/bookings",
        "status%2Fx",
        "status%5Cx",
        "status\\x",
        "%62ookings",
        "status/%7Ex",
        "status/%",
        "status/%zz",
        "status/%+f",
        "status/%252e%252e/bookings",
        "status;x=1",
        "status%3Bx",
        "status/r%c3%a4ck",
        "status/r\u{e4}ck",
    ];
    for path in paths {
        let message = format!("Path '{path}' isn't in normal form.");
        QueryBuilder::new().path(path).assert_error(400, &message);
    }
}

#[test]
fn characters_that_must_be_encoded_are_accepted() {
    QueryBuilder::new().path("status/r%C3%A4ck%20verk").assert_match("middle", true);
}

#[test]
fn a_rule_whose_tier_is_gone_is_an_error() {
    let mut inventory = inventory();
    inventory.tiers.clear();
    let query = QueryBuilder::new().query;

    let error = apply_rules(&inventory, &query).unwrap_err();

    assert_eq!(error, RuleError::UnknownTier { hint: ".".into(), tier: "low".into() });
}

#[test]
fn a_path_matches_itself_and_what_is_below() {
    assert!(path_matches("a/b", "a/b"));
    assert!(path_matches("a/b", "a/b/c"));
    assert!(!path_matches("a/b", "a/bc"));
    assert!(!path_matches("a/b", "a"));
}

#[test]
fn a_rule_path_has_only_one_form() {
    assert!(is_rule_path("bookings/r%C3%A4ck%20verk_1.0~a-b"));
    for path in
        ["", "a//b", "a/../b", "a!", "a%21", "a:b", "a%3Ab", "r\u{e4}ck", "r%c3%a4ck", "a?b"]
    {
        assert!(!is_rule_path(path), "{path}");
    }
}
