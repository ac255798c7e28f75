//! Delivers documents and instance lists of the platform to the control thread.

use std::sync::Arc;

use crate::config_event::ConfigDocument;
use crate::control::ControlInput;
use crate::event::Event;
use crate::name::Name;
use crate::parse_inventory::parse_inventory;
use crate::platform_event::{ListedState, PlatformEvent, PlatformSink};

/// Converts platform events and sends them to the control thread.
pub struct ControlPlatformSink {
    /// Inputs of the control thread.
    pub control: flume::Sender<ControlInput>,
}

impl PlatformSink for ControlPlatformSink {
    fn deliver(&self, event: PlatformEvent) {
        let event = match event {
            PlatformEvent::Document(document) => read_document(document),
            PlatformEvent::Instances(listed) => {
                let is_leaving = |state: &ListedState| *state == ListedState::Leaving;
                let mut leaving: Vec<Name> = listed
                    .into_iter()
                    .filter(|entry| is_leaving(&entry.state))
                    .map(|entry| entry.name)
                    .collect();
                leaving.sort();
                Event::InstanceListRead { leaving }
            }
            PlatformEvent::Unreachable => Event::PlatformUnreachable,
        };
        // The control thread only ends with the process.
        let _ = self.control.send(ControlInput::Event(event));
    }
}

fn read_document(document: ConfigDocument) -> Event {
    let file = format!("version {}", document.version);
    let parsed = match parse_inventory(&file, &document.text) {
        Ok(inventory) => Ok(Arc::new(inventory)),
        Err(error) => Err(error.into_findings()),
    };
    Event::DocumentRead { document, parsed, peer: None }
}
