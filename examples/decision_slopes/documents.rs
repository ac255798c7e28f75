//! Cost of reading the published document, and of building the view of its instances.

use std::net::SocketAddr;

use bergamotspan::inventory::Inventory;
use bergamotspan::parse_inventory::parse_inventory;
use bergamotspan::view::View;
use standins::capacity::Series;
use standins::fleet::{
    BackendServerRow, CustomerRow, InstanceRow, InventoryDocument, ServiceRow, TierRow,
};

use crate::cost::{measure_series, processor_us_of, resident_bytes_of};
use crate::memory_case::MemoryCase;

const CUSTOMERS_PER_ENGINE_PERCENT: u64 = 63;
const DATA_CENTRE_COUNT: u64 = 13;
const ENGINE_COUNTS: [u64; 5] = [500, 1_000, 2_000, 3_000, 4_000];
const ENGINES_PER_INSTANCE: u64 = 8;
const INSTANCE_COUNTS: [u64; 5] = [7, 150, 300, 600, 1_200];
const MODEL_COUNT: u64 = 6;
const READ_COUNT: u64 = 10;
const VARIED: &str = "engines, with instances and customers in proportion";
const VIEW_COUNT: u64 = 200;

pub fn measure(divisor: u64) -> Vec<Series> {
    let sizes = ENGINE_COUNTS.map(|engines| engines / divisor);
    vec![
        measure_series(VARIED, "document, bytes", &sizes, |engines| {
            render_document(engines).len() as f64
        }),
        measure_series(VARIED, "reading the document, us of processor", &sizes, |engines| {
            let text = render_document(engines);
            processor_us_of(|| (0..READ_COUNT).map(|_| parse_document(&text)).collect::<Vec<_>>())
                / READ_COUNT as f64
        }),
        measure_series(VARIED, "inventory in memory, bytes", &sizes, |engines| {
            MemoryCase::Inventory.measure(engines)
        }),
        measure_series(
            "instances in the list",
            "making the view, us of processor",
            &INSTANCE_COUNTS,
            |count| {
                let inventory = parse_document(&document(1, count).render());
                let view = || View::from_inventory(&inventory, "entry-00001".into());
                processor_us_of(|| (0..VIEW_COUNT).map(|_| view()).collect::<Vec<_>>())
                    / VIEW_COUNT as f64
            },
        ),
    ]
}

/// Returns the memory of an inventory with `engines` backend servers, in bytes.
pub fn resident_bytes(engines: u64) -> f64 {
    let text = render_document(engines);
    resident_bytes_of(|| parse_document(&text))
}

fn render_document(engines: u64) -> String {
    document(engines, (engines / ENGINES_PER_INSTANCE).max(1)).render()
}

fn parse_document(text: &str) -> Inventory {
    parse_inventory("inventory.ini", text).expect("the document is valid")
}

fn document(engines: u64, instances: u64) -> InventoryDocument {
    let data_centre = |number: u64| format!("dc-{:02}", number % DATA_CENTRE_COUNT);
    let service = |number: u64| format!("service-{}", number % MODEL_COUNT);
    InventoryDocument {
        version: 1,
        instances_version: 1,
        data_centres: (0..DATA_CENTRE_COUNT).map(data_centre).collect(),
        instances: (0..instances).map(|number| instance(number, data_centre(number))).collect(),
        services: (0..MODEL_COUNT)
            .map(|number| ServiceRow {
                name: service(number),
                model: Some(format!("model-{number}")),
                idempotent: true,
            })
            .collect(),
        backend_servers: (0..engines)
            .map(|number| BackendServerRow {
                name: format!("engine-{number:05}"),
                service: service(number),
                data_centre: data_centre(number),
                address: SocketAddr::from((host(2, number), 41_000)),
                token_limit_tokens: Some(16_384),
                prefill_tokens_per_s: Some(50_000),
                leaving: false,
                fencing: false,
            })
            .collect(),
        tiers: (0..4).map(tier).collect(),
        customers: (0..engines * CUSTOMERS_PER_ENGINE_PERCENT / 100)
            .map(|number| CustomerRow {
                name: format!("customer-{number:04}"),
                weight: 1,
                tier: "tier-1".to_owned(),
            })
            .collect(),
        rules: Vec::new(),
    }
}

fn host(subnet: u8, number: u64) -> [u8; 4] {
    let [_, _, high, low] = (number as u32 + 1).to_be_bytes();
    [10, subnet, high, low]
}

fn instance(number: u64, data_centre: String) -> InstanceRow {
    InstanceRow {
        name: format!("entry-{number:05}"),
        data_centre,
        caller_address: SocketAddr::from((host(1, number), 41_000)),
        peer_address: SocketAddr::from((host(1, number), 41_001)),
    }
}

fn tier(rank: u8) -> TierRow {
    TierRow {
        name: format!("tier-{rank}"),
        rank,
        deadline_ms: 600_000,
        first_token_ms: 1_200,
        between_tokens_ms: 73,
    }
}
