//! Tests that valid inventories are read.

mod valid_inventory;

use std::net::SocketAddr;

use bergamotspan::inventory::{
    BackendServer, Customer, Instance, Inventory, Rule, Service, ServiceKind, Tier,
};
use bergamotspan::parse_inventory::parse_inventory;

use crate::valid_inventory::VALID_INVENTORY;

#[test]
fn a_valid_inventory_is_read_completely() {
    let inventory = parse_inventory("test.ini", VALID_INVENTORY).unwrap();

    let expected = Inventory {
        backend_servers: vec![BackendServer {
            address: address("10.0.0.2:9000"),
            data_centre: "umea-b".into(),
            fencing: false,
            leaving: false,
            name: "engine-1".into(),
            prefill_tokens_per_s: 2_000,
            service: "plans".into(),
            token_limit_tokens: 4_096,
        }],
        customers: vec![Customer { name: "norr".into(), tier: "low".into(), weight: 4 }],
        data_centres: vec!["umea-a".into(), "umea-b".into()],
        instances: vec![Instance {
            caller_address: address("10.0.0.1:8080"),
            data_centre: "umea-a".into(),
            name: "entry-1".into(),
            peer_address: address("10.0.0.1:8081"),
        }],
        instances_version: 2,
        models: vec!["draft".into()],
        rules: vec![
            Rule {
                customer: None,
                idempotent: Some(false),
                name: "bookings".into(),
                path: Some("bookings".into()),
                service: Some("desk".into()),
                tier: Some("high".into()),
            },
            Rule {
                customer: None,
                idempotent: Some(true),
                name: "status".into(),
                path: Some("status".into()),
                service: Some("desk".into()),
                tier: None,
            },
        ],
        services: vec![
            Service { idempotent: false, kind: ServiceKind::Plain, name: "desk".into() },
            Service {
                idempotent: true,
                kind: ServiceKind::Model("draft".into()),
                name: "plans".into(),
            },
        ],
        tiers: vec![tier("high", 0, 30_000, 1_000, 200), tier("low", 1, 60_001, 5_000, 500)],
        version: 7,
    };
    assert_eq!(inventory, expected);
}

#[test]
fn order_of_sections_does_not_matter() {
    let (head, tail) = VALID_INVENTORY.split_once("[model draft]").unwrap();
    let text = format!("[model draft]{tail}{head}");

    let inventory = parse_inventory("test.ini", &text).unwrap();

    assert_eq!(inventory, parse_inventory("test.ini", VALID_INVENTORY).unwrap());
}

#[test]
fn line_ends_indents_comments_and_a_byte_order_mark_do_not_matter() {
    let lines: Vec<String> =
        VALID_INVENTORY.lines().map(|line| format!("  {line} \r\n; note\r\n")).collect();
    let text = format!("\u{feff}{}", lines.concat());

    let inventory = parse_inventory("test.ini", &text).unwrap();

    assert_eq!(inventory, parse_inventory("test.ini", VALID_INVENTORY).unwrap());
}

#[test]
fn an_inventory_of_many_sections_is_read() {
    let servers: String = (0..5_000).map(backend_server).collect();

    let inventory = parse_inventory("test.ini", &format!("{VALID_INVENTORY}{servers}")).unwrap();

    assert_eq!(inventory.backend_servers.len(), 5_001);
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn backend_server(number: usize) -> String {
    format!(
        "[backend_server many-{number}]\nservice = plans\ndata_centre = umea-a\n\
         address = 10.1.{}.{}:9000\ntoken_limit_tokens = 4096\nprefill_tokens_per_s = 2000\n",
        number / 250,
        number % 250 + 1
    )
}

fn tier(
    name: &str,
    rank: u8,
    deadline_ms: u64,
    first_token_ms: u64,
    between_tokens_ms: u64,
) -> Tier {
    Tier { between_tokens_ms, deadline_ms, first_token_ms, name: name.into(), rank }
}
