//! Tests of each finding on the values of an inventory and on references between its sections.

mod document_text;
mod valid_inventory;

use bergamotspan::parse_inventory::parse_inventory;

use crate::document_text::{DocumentText, findings_of};
use crate::valid_inventory::VALID_INVENTORY;

fn assert_findings(old: &str, new: &str, expected: &[&str]) {
    let text = DocumentText::new(VALID_INVENTORY).replace(old, new).build();

    let findings = findings_of(parse_inventory("test.ini", &text));

    assert_eq!(findings, expected);
}

#[test]
fn a_missing_inventory_section_is_found() {
    assert_findings(
        "[inventory]\nversion = 7\ninstances_version = 2\n",
        "",
        &["0: Section '[inventory]' is missing."],
    );
}

#[test]
fn a_missing_version_is_found() {
    assert_findings(
        "version = 7\ninstances",
        "instances",
        &["1: Key 'version' is missing in '[inventory]'."],
    );
}

#[test]
fn a_version_of_zero_is_found() {
    assert_findings(
        "[inventory]\nversion = 7",
        "[inventory]\nversion = 0",
        &["2: 'version' must be a whole number from 1 to 18446744073709551615, not '0'."],
    );
}

#[test]
fn a_missing_instances_version_is_found() {
    assert_findings(
        "instances_version = 2\n",
        "",
        &["1: Key 'instances_version' is missing in '[inventory]'."],
    );
}

#[test]
fn an_inventory_without_instances_is_found() {
    assert_findings(
        "[instance entry-1]\ndata_centre = umea-a\ncaller_address = 10.0.0.1:8080\npeer_address = 10.0.0.1:8081\n",
        "",
        &["0: There is no '[instance NAME]'."],
    );
}

#[test]
fn missing_keys_of_an_instance_are_found() {
    assert_findings(
        "data_centre = umea-a\ncaller_address = 10.0.0.1:8080\npeer_address = 10.0.0.1:8081\n",
        "",
        &[
            "6: Key 'caller_address' is missing in '[instance entry-1]'.",
            "6: Key 'data_centre' is missing in '[instance entry-1]'.",
            "6: Key 'peer_address' is missing in '[instance entry-1]'.",
        ],
    );
}

#[test]
fn missing_keys_of_a_backend_server_are_found() {
    assert_findings(
        "service = plans\ndata_centre = umea-b\naddress = 10.0.0.2:9000\ntoken_limit_tokens = 4096\nprefill_tokens_per_s = 2000\n",
        "",
        &[
            "16: Key 'address' is missing in '[backend_server engine-1]'.",
            "16: Key 'data_centre' is missing in '[backend_server engine-1]'.",
            "16: Key 'prefill_tokens_per_s' is missing in '[backend_server engine-1]'.",
            "16: Key 'service' is missing in '[backend_server engine-1]'.",
            "16: Key 'token_limit_tokens' is missing in '[backend_server engine-1]'.",
        ],
    );
}

#[test]
fn missing_keys_of_a_tier_are_found() {
    assert_findings(
        "rank = 0\ndeadline_ms = 30000\nfirst_token_ms = 1000\nbetween_tokens_ms = 200\n",
        "",
        &[
            "22: Key 'between_tokens_ms' is missing in '[tier high]'.",
            "22: Key 'deadline_ms' is missing in '[tier high]'.",
            "22: Key 'first_token_ms' is missing in '[tier high]'.",
            "22: Key 'rank' is missing in '[tier high]'.",
        ],
    );
}

#[test]
fn missing_keys_of_a_customer_are_found() {
    assert_findings(
        "weight = 4\ntier = low\n",
        "",
        &[
            "32: Key 'tier' is missing in '[customer norr]'.",
            "32: Key 'weight' is missing in '[customer norr]'.",
        ],
    );
}

#[test]
fn a_missing_kind_is_found() {
    assert_findings("kind = plain\n", "", &["14: Key 'kind' is missing in '[service desk]'."]);
}

#[test]
fn an_unknown_kind_is_found() {
    assert_findings(
        "kind = plain",
        "kind = simple",
        &["15: 'kind' must be one of model, plain, not 'simple'."],
    );
}

#[test]
fn a_model_service_without_a_model_is_found() {
    assert_findings("model = draft\n", "", &["12: Service 'plans' of kind 'model' needs 'model'."]);
}

#[test]
fn a_plain_service_with_a_model_is_found() {
    assert_findings(
        "kind = plain",
        "kind = plain\nmodel = draft",
        &["16: Service 'desk' of kind 'plain' can't have 'model'."],
    );
}

#[test]
fn a_model_that_does_not_exist_is_found() {
    assert_findings(
        "model = draft\n",
        "model = drift\n",
        &["13: 'model' names 'drift', but there is no '[model drift]'; did you mean 'draft'?"],
    );
}

#[test]
fn a_data_centre_that_does_not_exist_is_found() {
    assert_findings(
        "data_centre = umea-b",
        "data_centre = umea-d",
        &[
            "18: 'data_centre' names 'umea-d', but there is no '[data_centre umea-d]'; did you mean 'umea-a'?",
        ],
    );
}

#[test]
fn a_service_that_does_not_exist_is_found() {
    assert_findings(
        "service = plans\n",
        "service = plan\n",
        &["17: 'service' names 'plan', but there is no '[service plan]'; did you mean 'plans'?"],
    );
}

#[test]
fn a_tier_that_does_not_exist_is_found() {
    assert_findings(
        "tier = low\n",
        "tier = lowest-of-all\n",
        &["34: 'tier' names 'lowest-of-all', but there is no '[tier lowest-of-all]'."],
    );
}

#[test]
fn a_customer_that_does_not_exist_is_found() {
    assert_findings(
        "path = status",
        "customer = nor\npath = status",
        &["42: 'customer' names 'nor', but there is no '[customer nor]'; did you mean 'norr'?"],
    );
}

#[test]
fn an_address_without_a_port_is_found() {
    assert_findings(
        "10.0.0.2:9000",
        "10.0.0.2",
        &["19: 'address' must be an IP address with a port, not '10.0.0.2'."],
    );
}

#[test]
fn an_address_by_host_name_is_found() {
    assert_findings(
        "10.0.0.2:9000",
        "engine:9000",
        &["19: 'address' must be an IP address with a port, not 'engine:9000'."],
    );
}

#[test]
fn an_address_with_port_zero_is_found() {
    assert_findings(
        "10.0.0.2:9000",
        "10.0.0.2:0",
        &["19: 'address' must have a port other than 0, not '10.0.0.2:0'."],
    );
}

#[test]
fn an_unspecified_address_is_found() {
    assert_findings(
        "10.0.0.2:9000",
        "0.0.0.0:9000",
        &["19: 'address' must name one machine, not '0.0.0.0:9000'."],
    );
}

#[test]
fn an_address_that_is_taken_is_found() {
    assert_findings(
        "10.0.0.2:9000",
        "10.0.0.1:8081",
        &["19: Address '10.0.0.1:8081' is already used on line 9."],
    );
}

#[test]
fn a_rank_that_is_taken_is_found() {
    assert_findings(
        "rank = 1",
        "rank = 0",
        &["28: Tier 'low' has the same rank, 0, as tier 'high'."],
    );
}

#[test]
fn a_rank_out_of_range_is_found() {
    assert_findings(
        "rank = 1",
        "rank = 256",
        &["28: 'rank' must be a whole number from 0 to 255, not '256'."],
    );
}

#[test]
fn a_weight_of_zero_is_found() {
    assert_findings(
        "weight = 4",
        "weight = 0",
        &["33: 'weight' must be a whole number from 1 to 1000000, not '0'."],
    );
}

#[test]
fn a_negative_weight_is_found() {
    assert_findings(
        "weight = 4",
        "weight = -1",
        &["33: 'weight' must be a whole number from 1 to 1000000, not '-1'."],
    );
}

#[test]
fn a_number_with_a_unit_is_found() {
    assert_findings(
        "deadline_ms = 30000",
        "deadline_ms = 30 s",
        &[
            "24: 'deadline_ms' must be a whole number of milliseconds from 1 to 86400000, not '30 s'.",
        ],
    );
}

#[test]
fn a_token_limit_of_zero_is_found() {
    assert_findings(
        "token_limit_tokens = 4096",
        "token_limit_tokens = 0",
        &[
            "20: 'token_limit_tokens' must be a whole number of tokens from 1 to 4294967295, not '0'.",
        ],
    );
}

#[test]
fn a_prefill_speed_of_zero_is_found() {
    assert_findings(
        "prefill_tokens_per_s = 2000",
        "prefill_tokens_per_s = 0",
        &[
            "21: 'prefill_tokens_per_s' must be a whole number of tokens per second from 1 to 4294967295, not '0'.",
        ],
    );
}

#[test]
fn a_flag_other_than_true_or_false_is_found() {
    assert_findings(
        "prefill_tokens_per_s = 2000",
        "prefill_tokens_per_s = 2000\nleaving = yes",
        &["22: 'leaving' must be true or false, not 'yes'."],
    );
}

#[test]
fn a_first_token_after_the_deadline_is_found() {
    assert_findings(
        "first_token_ms = 1000",
        "first_token_ms = 30001",
        &["25: 'first_token_ms' 30001 is above 'deadline_ms' 30000."],
    );
}

#[test]
fn a_time_between_tokens_above_the_deadline_is_found() {
    assert_findings(
        "between_tokens_ms = 200",
        "between_tokens_ms = 30001",
        &["26: 'between_tokens_ms' 30001 is above 'deadline_ms' 30000."],
    );
}

#[test]
fn a_rule_that_sets_nothing_is_found() {
    assert_findings(
        "path = status\nidempotent = true\n",
        "path = status\n",
        &["40: Rule 'status' sets neither 'tier' nor 'idempotent'."],
    );
}

#[test]
fn a_rule_with_a_path_not_in_normal_form_is_found() {
    assert_findings(
        "path = status",
        "path = status/../bookings",
        &["42: 'path' must be a path such as 'bookings/new', not 'status/../bookings'."],
    );
}

#[test]
fn a_rule_overridden_by_an_earlier_rule_is_found() {
    assert_findings(
        "path = status\n",
        "path = bookings/new\ntier = low\n",
        &[
            "43: 'tier' of rule 'status' never takes effect: rule 'bookings' on line 38 takes precedence.",
            "44: 'idempotent' of rule 'status' never takes effect: rule 'bookings' on line 39 takes precedence.",
        ],
    );
}

#[test]
fn a_rule_with_the_same_path_as_an_earlier_rule_is_found() {
    assert_findings(
        "path = status\n",
        "path = bookings\n",
        &[
            "43: 'idempotent' of rule 'status' never takes effect: rule 'bookings' on line 39 takes precedence.",
        ],
    );
}

#[test]
fn a_rule_that_makes_a_model_service_non_idempotent_is_found() {
    assert_findings(
        "service = desk\npath = status\nidempotent = true",
        "service = plans\nidempotent = false",
        &[
            "42: Rule 'status' makes requests of model service 'plans' non-idempotent; set 'idempotent' for the whole service in '[service plans]'.",
        ],
    );
}

#[test]
fn an_empty_document_is_found() {
    let findings = findings_of(parse_inventory("test.ini", ""));

    assert_eq!(
        findings,
        ["0: Section '[inventory]' is missing.", "0: There is no '[instance NAME]'."]
    );
}

#[test]
fn a_rule_path_that_only_shares_a_prefix_is_valid() {
    let text =
        DocumentText::new(VALID_INVENTORY).replace("path = status", "path = bookings-old").build();

    assert!(parse_inventory("test.ini", &text).is_ok());
}

#[test]
fn a_narrow_rule_before_a_wide_one_is_valid() {
    let text =
        DocumentText::new(VALID_INVENTORY).replace("service = desk\npath = status\n", "").build();

    assert!(parse_inventory("test.ini", &text).is_ok());
}
