//! Logs evacuations that begin or end.

use log::info;

use crate::gateway::evacuation::evacuated_set::SetChange;
use crate::gateway::evacuation::following::HeardFrom;
use crate::name::Name;

/// Most data centres that are logged one by one.
const LINE_LIMIT: usize = 16;
/// Longest part of a name that is logged, in characters.
const NAME_LIMIT: usize = 64;

/// Logs a change of the evacuated data centres, of which there are `count` now.
pub(crate) fn log_change(change: &SetChange, from: &HeardFrom, age_ms: u64, count: usize) {
    let (heard_from, instance) = match from {
        HeardFrom::Instance(name) => ("report", Some(&**name)),
        HeardFrom::Store => ("store", None),
        HeardFrom::Update => ("update", None),
    };
    for (event, names) in [("begins", &change.begun), ("ends", &change.ended)] {
        for name in names.iter().take(LINE_LIMIT) {
            info!(
                target: "evacuation",
                data_centre = shortened(name).as_str(),
                event,
                heard_from,
                instance,
                age_ms,
                evacuated = count;
                "Evacuation of a data centre begins or ends."
            );
        }
        if let Some(more @ 1..) = names.len().checked_sub(LINE_LIMIT) {
            info!(
                target: "evacuation",
                event,
                more,
                heard_from,
                instance,
                evacuated = count;
                "Evacuations of more data centres begin or end."
            );
        }
    }
}

fn shortened(name: &Name) -> String {
    match name.char_indices().nth(NAME_LIMIT) {
        Some((end, _)) => format!("{}… ({} bytes)", &name[..end], name.len()),
        None => name.to_string(),
    }
}
