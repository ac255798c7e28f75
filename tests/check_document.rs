//! Tests of each finding on the syntax and the schema of a document.

mod document_text;
mod valid_inventory;

use bergamotspan::error::Error;
use bergamotspan::parse_inventory::parse_inventory;
use proptest::prelude::*;

use crate::document_text::{DocumentText, findings_of};
use crate::valid_inventory::VALID_INVENTORY;

fn assert_findings(old: &str, new: &str, expected: &[&str]) {
    let text = DocumentText::new(VALID_INVENTORY).replace(old, new).build();

    let findings = findings_of(parse_inventory("test.ini", &text));

    assert_eq!(findings, expected);
}

#[test]
fn an_unclosed_section_header_is_found() {
    assert_findings(
        "[model draft]",
        "[model draft",
        &[
            "10: Section header '[model draft' doesn't end with ']'.",
            "13: 'model' names 'draft', but there is no '[model draft]'.",
        ],
    );
}

#[test]
fn a_key_before_any_section_is_found() {
    assert_findings(
        "[inventory]",
        "version = 7\n[inventory]",
        &["1: Key 'version' comes before the first section."],
    );
}

#[test]
fn a_line_without_equals_sign_is_found() {
    assert_findings(
        "weight = 4",
        "weight 4",
        &["32: Key 'weight' is missing in '[customer norr]'.", "33: 'weight 4' has no '='."],
    );
}

#[test]
fn a_comment_that_starts_with_a_hash_is_found() {
    assert_findings(
        "[model draft]",
        "# models\n[model draft]",
        &["10: A comment starts with ';', not with '#'."],
    );
}

#[test]
fn a_repeated_section_is_found() {
    assert_findings(
        "[tier low]",
        "[tier high]",
        &[
            "27: Section '[tier high]' is already defined on line 22.",
            "34: 'tier' names 'low', but there is no '[tier low]'.",
        ],
    );
}

#[test]
fn a_repeated_key_is_found() {
    assert_findings(
        "weight = 4",
        "weight = 4\nweight = 5",
        &["34: Key 'weight' is already defined on line 33."],
    );
}

#[test]
fn an_unknown_section_is_found_with_the_nearest_name() {
    assert_findings(
        "[model draft]",
        "[modle draft]",
        &[
            "10: Unknown section '[modle draft]'; did you mean 'model'?",
            "13: 'model' names 'draft', but there is no '[model draft]'.",
        ],
    );
}

#[test]
fn an_unknown_section_without_a_near_name_is_found() {
    assert_findings("[model draft]", "[xyz]\n[model draft]", &["10: Unknown section '[xyz]'."]);
}

#[test]
fn an_unknown_key_is_found_with_the_nearest_name() {
    assert_findings(
        "weight = 4",
        "wieght = 4",
        &[
            "32: Key 'weight' is missing in '[customer norr]'.",
            "33: Unknown key 'wieght' in '[customer norr]'; did you mean 'weight'?",
        ],
    );
}

#[test]
fn a_key_with_another_unit_is_found() {
    assert_findings(
        "deadline_ms = 30000",
        "deadline_s = 30",
        &[
            "22: Key 'deadline_ms' is missing in '[tier high]'.",
            "24: Unknown key 'deadline_s' in '[tier high]'; did you mean 'deadline_ms'?",
        ],
    );
}

#[test]
fn a_section_without_its_name_is_found() {
    assert_findings(
        "[model draft]",
        "[model]\n[model draft]",
        &["10: Section '[model]' needs a name: '[model NAME]'."],
    );
}

#[test]
fn a_named_section_of_an_unnamed_kind_is_found() {
    assert_findings(
        "[inventory]",
        "[inventory norrland]",
        &["1: Section '[inventory norrland]' takes no name: '[inventory]'."],
    );
}

#[test]
fn a_name_with_a_space_is_found() {
    assert_findings(
        "[data_centre umea-a]",
        "[data_centre umea-a]\n[data_centre umea c]",
        &["5: Name 'umea c' may contain only ASCII letters and digits, '-', '_' and '.'."],
    );
}

#[test]
fn an_empty_value_is_found() {
    assert_findings("weight = 4", "weight =", &["33: 'weight' has no value."]);
}

#[test]
fn all_findings_are_reported_in_order_of_lines() {
    assert_findings(
        "weight = 4\ntier = low",
        "weight = none\ntier = lo\ncolour = red",
        &[
            "33: 'weight' must be a whole number from 1 to 1000000, not 'none'.",
            "34: 'tier' names 'lo', but there is no '[tier lo]'; did you mean 'low'?",
            "35: Unknown key 'colour' in '[customer norr]'.",
        ],
    );
}

#[test]
fn a_last_line_without_a_newline_has_the_correct_number() {
    let text = DocumentText::new(VALID_INVENTORY)
        .replace("idempotent = true\n", "idempotent = maybe")
        .build();

    let findings = findings_of(parse_inventory("test.ini", &text));

    assert_eq!(findings, ["43: 'idempotent' must be true or false, not 'maybe'."]);
}

#[test]
fn a_document_that_is_too_large_is_found() {
    let text = format!("{VALID_INVENTORY};{}", " ".repeat(1_000_000));

    let findings = findings_of(parse_inventory("test.ini", &text));

    let expected = format!("0: The document has {} bytes, more than 1000000.", text.len());
    assert_eq!(findings, [expected]);
}

#[test]
fn a_section_with_too_many_keys_is_found() {
    let keys: String = (0..200).map(|number| format!("\nkey_{number} = 1")).collect();
    let text = DocumentText::new(VALID_INVENTORY)
        .replace("[model draft]", &format!("[model draft]{keys}"));

    let findings = findings_of(parse_inventory("test.ini", &text.build()));

    assert!(findings.contains(&"111: Section '[model draft]' has more than 100 keys.".into()));
    assert_eq!(findings.len(), 102);
}

#[test]
fn findings_beyond_a_thousand_are_left_out() {
    let customers: String = (0..2_000).map(|number| format!("[customer c{number}]\n")).collect();

    let findings =
        findings_of(parse_inventory("test.ini", &format!("{VALID_INVENTORY}{customers}")));

    assert_eq!(findings.len(), 1_001);
    assert_eq!(findings[0], "0: 1000 findings; the rest is left out.");
}

proptest! {
    #[test]
    fn any_damaged_inventory_is_read_or_has_findings_in_order_of_lines(
        start in 0..VALID_INVENTORY.len(),
        length in 0_usize..40,
        inserted in "[ -~\\n\\r\u{e5}]{0,12}",
    ) {
        let end = (start + length).min(VALID_INVENTORY.len());
        let text = format!("{}{inserted}{}", &VALID_INVENTORY[..start], &VALID_INVENTORY[end..]);
        let last_line = u32::try_from(text.lines().count()).unwrap();

        if let Err(error) = parse_inventory("test.ini", &text) {
            let Error::Findings(findings) = error else {
                panic!("{error}");
            };
            prop_assert!(findings.is_sorted_by_key(|finding| finding.line));
            prop_assert!(findings.iter().all(|finding| finding.line <= last_line));
            prop_assert!(!findings.is_empty());
        }
    }
}
