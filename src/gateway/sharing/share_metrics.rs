//! Renders what became of the room in the Prometheus text format.

use std::fmt::Write;

use crate::gateway::request_queue::RequestQueue;
use crate::name::Name;

/// Renders the use of the places of all services, and the shares of their customers.
pub fn render(queues: &[(Name, RequestQueue)]) -> String {
    let mut text = String::new();
    for (service, queue) in queues {
        let room = queue.room();
        let held = [
            ("granted", room.granted_ms),
            ("prefill", room.prefill_ms),
            ("streaming", room.streaming_ms),
            ("free_beside_queue", room.free_beside_queue_ms),
        ];
        for (place_use, ms) in held {
            let labels = format!("service=\"{service}\",use=\"{place_use}\"");
            write_line(&mut text, "place_ms_total", &labels, ms);
        }
        let labels = format!("service=\"{service}\"");
        for (name, value) in [
            ("places_given_back_total", room.given_back),
            ("place_turnovers_total", room.turnovers),
            ("place_turnover_ms_total", room.turnover_ms),
            ("queue_length", queue.len() as u64),
        ] {
            write_line(&mut text, name, &labels, value);
        }
        for (rank, customer, count) in queue.tally().iter() {
            let customer = customer.replace('\\', "\\\\").replace('"', "\\\"");
            let labels = format!(
                "service=\"{service}\",rank=\"{}.{}\",customer=\"{customer}\"",
                rank.customer, rank.route
            );
            for (name, value) in [
                ("share_granted_total", count.granted),
                ("share_granted_us_total", count.granted_us),
                ("share_waited_ms_total", count.waited_ms),
                ("share_refused_total", count.refused),
                ("share_displaced_total", count.displaced),
            ] {
                write_line(&mut text, name, &labels, value);
            }
        }
    }
    text
}

fn write_line(text: &mut String, name: &str, labels: &str, value: u64) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "bergamotspan_{name}{{{labels}}} {value}");
}
