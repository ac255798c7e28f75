//! Documents that are published to the simulated cores.

use std::net::{Ipv4Addr, SocketAddr};

use bergamotspan::config_event::ConfigDocument;
use bergamotspan::inventory::Inventory;
use bergamotspan::name::Name;
use bergamotspan::parse_inventory::parse_inventory;
use standins::fleet::{
    BackendServerRow, CustomerRow, InstanceRow, InventoryDocument, RuleRow, ServiceRow, TierRow,
};

pub const CUSTOMER: &str = "customer-1";
pub const FIRST_PORT: u16 = 8_000;
pub const KEY_LIFETIME_MS: u64 = 20_000;
pub const CLOCK_MARGIN_MS: u64 = 50;
pub const PLAIN: &str = "order-desk";
const DATA_CENTRE: &str = "dc-a";
const TOKEN_LIMIT_TOKENS: u32 = 16_384;

/// All documents published so far.
pub struct Documents {
    count: usize,
    current: InventoryDocument,
    texts: Vec<String>,
}

impl Documents {
    pub fn with_instances(count: usize) -> Self {
        let current = InventoryDocument {
            version: 1,
            instances_version: 1,
            data_centres: vec![DATA_CENTRE.to_owned()],
            instances: (0..count).map(instance).collect(),
            services: vec![ServiceRow { name: PLAIN.to_owned(), model: None, idempotent: false }],
            backend_servers: (1..=2).map(backend_server).collect(),
            tiers: vec![tier("high", 0), tier("low", 1)],
            customers: vec![CustomerRow {
                name: CUSTOMER.to_owned(),
                weight: 1,
                tier: "high".to_owned(),
            }],
            rules: vec![RuleRow {
                name: "status".to_owned(),
                path: Some("status".to_owned()),
                idempotent: Some(true),
                ..RuleRow::default()
            }],
        };
        let texts = vec![current.render()];
        Self { count, current, texts }
    }

    pub fn get(&self, version: u64) -> (ConfigDocument, Inventory) {
        let text = &self.texts[version as usize - 1];
        let inventory = parse_inventory("document", text).unwrap();
        (ConfigDocument { text: text.as_str().into(), version }, inventory)
    }

    pub fn index_of(&self, name: &Name) -> Option<usize> {
        (0..self.count).find(|index| name_of(*index) == **name)
    }

    pub fn newest_version(&self) -> u64 {
        self.current.version
    }

    /// Removes an instance from the list or adds it; at least two stay.
    pub fn toggle_instance(&mut self, index: usize) {
        let rows = &mut self.current.instances;
        match rows.iter().position(|row| row.name == name_of(index)) {
            Some(at) if rows.len() > 2 => drop(rows.remove(at)),
            Some(_) => return,
            None => rows.push(instance(index)),
        }
        self.current.instances_version += 1;
        self.current.version += 1;
        self.texts.push(self.current.render());
    }
}

pub fn name_of(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn address(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn backend_server(number: u16) -> BackendServerRow {
    BackendServerRow {
        name: format!("order-desk-{number}"),
        service: PLAIN.to_owned(),
        data_centre: DATA_CENTRE.to_owned(),
        address: address(7_000 + number),
        token_limit_tokens: Some(TOKEN_LIMIT_TOKENS),
        prefill_tokens_per_s: Some(TOKEN_LIMIT_TOKENS),
        leaving: false,
        fencing: false,
    }
}

fn instance(index: usize) -> InstanceRow {
    let port = index as u16;
    InstanceRow {
        name: name_of(index),
        data_centre: DATA_CENTRE.to_owned(),
        caller_address: address(FIRST_PORT + port),
        peer_address: address(9_000 + port),
    }
}

fn tier(name: &str, rank: u8) -> TierRow {
    TierRow {
        name: name.to_owned(),
        rank,
        deadline_ms: 5_000,
        first_token_ms: 2_500,
        between_tokens_ms: 500,
    }
}
