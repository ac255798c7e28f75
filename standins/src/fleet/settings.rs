//! Settings of an instance of the daemon, rendered as INI.

use std::fmt::Display;

use super::inventory::Ini;

/// Settings by section and key, sorted.
#[derive(Clone, Debug, Default)]
pub struct SettingsDocument {
    entries: Vec<((String, String), String)>,
}

impl SettingsDocument {
    /// Sets a value and replaces an earlier one.
    pub fn set<V>(&mut self, section: &str, key: &str, value: V)
    where
        V: Display,
    {
        let entry_key = (section.to_owned(), key.to_owned());
        let value = value.to_string();
        match self.entries.binary_search_by(|(found, _)| found.cmp(&entry_key)) {
            Ok(index) => self.entries[index].1 = value,
            Err(index) => self.entries.insert(index, (entry_key, value)),
        }
    }

    /// Renders the document as INI.
    pub fn render(&self) -> String {
        let mut ini = Ini::default();
        let mut current = "";
        for ((section, key), value) in &self.entries {
            if section != current {
                ini.section(section, "");
                current = section;
            }
            ini.pair(key, value);
        }
        ini.text
    }
}
