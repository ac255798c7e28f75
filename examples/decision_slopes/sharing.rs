//! Cost of the queue that shares the places of a service between customers.

use bergamotspan::gateway::admission::Rank;
use bergamotspan::gateway::backends::Backends;
use bergamotspan::gateway::engine_query::EngineQuery;
use bergamotspan::gateway::request_queue::{RequestQueue, WaitingRequest};
use bergamotspan::gateway::sharing::sharer::Sharer;
use standins::capacity::Series;

use crate::cost::{measure_series, processor_us_of};

const CUSTOMER_COUNTS: [u64; 4] = [800, 1_600, 3_200, 6_400];
const DECISION_COUNT: u64 = 100_000;
const RANK_COUNT: u64 = 3;
const SERVICE: &str = "plan-model";
const WAITING_COUNT: u64 = 2_000;
const WAITING_COUNTS: [u64; 4] = [500, 1_000, 2_000, 4_000];

pub fn measure(divisor: u64) -> Vec<Series> {
    let decisions = DECISION_COUNT / divisor;
    let unit = "one arrival, grant and end, us of processor";
    let customers = CUSTOMER_COUNTS.map(|count| count / divisor);
    let waiting = WAITING_COUNTS.map(|count| count / divisor);
    vec![
        measure_series("customers that share", unit, &customers, |count| {
            decision_us(count, WAITING_COUNT / divisor, decisions)
        }),
        measure_series("requests in a shared queue", unit, &waiting, |count| {
            decision_us(CUSTOMER_COUNTS[3] / divisor, count, decisions)
        }),
    ]
}

fn decision_us(customers: u64, waiting: u64, decisions: u64) -> f64 {
    let sharers: Vec<Sharer> = (0..customers.max(1))
        .map(|number| Sharer::Customer(format!("customer-{number}").into()))
        .collect();
    let sharer = |number: u64| &sharers[(number.wrapping_mul(7_919) % customers.max(1)) as usize];
    let backends = Backends::default();
    let mut queue = RequestQueue::default();
    (0..waiting).for_each(|number| queue.insert(request(number, sharer(number))));
    let spent = processor_us_of(|| {
        for number in waiting..waiting + decisions {
            let (now_ms, rank) = (number / 10, rank(number));
            let sharer = sharer(number);
            queue.standing(now_ms, rank, sharer, 1.0);
            queue.insert(request(number, sharer));
            queue.charge(now_ms, rank, sharer, 400_000 + number % 7 * 100_000);
            queue.drain_mut().record_end(now_ms);
            assert!(queue.next_decision(now_ms, SERVICE, &backends).is_none(), "no engine is free");
            queue.displace(now_ms, 100.0);
            queue.remove(number - waiting);
        }
    });
    spent / decisions.max(1) as f64
}

fn rank(number: u64) -> Rank {
    Rank { customer: 0, route: (number % RANK_COUNT) as u32 }
}

fn request(number: u64, sharer: &Sharer) -> WaitingRequest {
    WaitingRequest {
        begun_ms: number / 10,
        query: EngineQuery { due_ms: 1_000_000 + number, ..EngineQuery::default() },
        expires_ms: 1_000_000_000,
        number,
        rank: rank(number),
        sharer: sharer.clone(),
    }
}
