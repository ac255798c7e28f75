//! Parses an INI document into sections and keys, each with its line.

use ini_core::{Item, Parser};

use crate::finding_list::FindingList;

const MAX_DOCUMENT_BYTES: usize = 1_000_000;
const MAX_SECTION_KEYS: usize = 100;

/// An INI document in the order of its text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IniDocument {
    /// Sections in the order of the document.
    pub sections: Vec<IniSection>,
}

/// One key of a section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniKey {
    /// Line, counted from 1.
    pub line: u32,
    /// Name.
    pub name: String,
    /// Value without the white space around it.
    pub value: String,
}

/// One section: `[kind]` or `[kind name]`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IniSection {
    /// Keys in the order of the document.
    pub keys: Vec<IniKey>,
    /// First word of the header.
    pub kind: String,
    /// Line of the header, counted from 1.
    pub line: u32,
    /// Rest of the header; empty if the header has only one word.
    pub name: String,
}

impl IniDocument {
    /// Parses `text` and adds its syntax errors to `findings`; a text that is too large is not
    /// parsed at all.
    pub fn parse(text: &str, findings: &mut FindingList) -> Option<Self> {
        let size = text.len();
        if size > MAX_DOCUMENT_BYTES {
            let message = format!("The document has {size} bytes, more than {MAX_DOCUMENT_BYTES}.");
            findings.add(0, message);
            return None;
        }
        Some(Self::parse_any_size(text, findings))
    }

    /// Parses `text` of any size and adds its syntax errors to `findings`.
    ///
    /// The first one of a repeated section or key counts.
    pub fn parse_any_size(text: &str, findings: &mut FindingList) -> Self {
        let text = normalize(text);
        let mut builder = DocumentBuilder {
            findings,
            headers: Vec::new(),
            key_target: KeyTarget::BeforeSections,
            sections: Vec::new(),
        };
        let mut parser = Parser::new(&text).auto_trim(true);
        while let Some(item) = parser.next() {
            builder.add_item(&item, parser.line());
        }
        Self { sections: builder.sections }
    }

    /// Returns the first section of `kind`, with any name.
    pub fn section(&self, kind: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.kind == kind)
    }

    /// Iterates over the sections of `kind` in the order of the document.
    pub fn sections_of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a IniSection> {
        self.sections.iter().filter(move |section| section.kind == kind)
    }
}

impl IniSection {
    /// Returns the header in its normal form, `[kind]` or `[kind name]`.
    pub fn header(&self) -> String {
        if self.name.is_empty() {
            format!("[{}]", self.kind)
        } else {
            format!("[{} {}]", self.kind, self.name)
        }
    }

    /// Finds a key by name.
    pub fn key(&self, name: &str) -> Option<&IniKey> {
        self.keys.iter().find(|key| key.name == name)
    }

    /// Returns the line of a key, or of the header if the key is absent.
    pub fn line_of(&self, name: &str) -> u32 {
        self.key(name).map_or(self.line, |key| key.line)
    }
}

/// Where the next key is added.
enum KeyTarget {
    /// To the last section.
    Section,
    /// Nowhere, since the section already has a finding.
    Skipped,
    /// Nowhere: a key before the first section is a finding.
    BeforeSections,
}

struct DocumentBuilder<'a> {
    findings: &'a mut FindingList,
    /// Header and line of each section, sorted by header.
    headers: Vec<(String, u32)>,
    key_target: KeyTarget,
    sections: Vec<IniSection>,
}

impl DocumentBuilder<'_> {
    fn add_item(&mut self, item: &Item<'_>, line: u32) {
        match *item {
            Item::Error(text) => self.report_malformed_header(text, line),
            Item::Property(key, Some(value)) => self.add_key(key, value, line),
            Item::Property(text, None) => self.report_missing_value(text, line),
            Item::Section(header) => self.add_section(header, line),
            Item::Blank | Item::Comment(_) | Item::SectionEnd => {}
        }
    }

    fn report_malformed_header(&mut self, text: &str, line: u32) {
        self.findings.add(line, format!("Section header '{text}' doesn't end with ']'."));
        self.key_target = KeyTarget::Skipped;
    }

    fn report_missing_value(&mut self, text: &str, line: u32) {
        if text.starts_with('#') {
            self.findings.add(line, "A comment starts with ';', not with '#'.");
        } else {
            self.findings.add(line, format!("'{text}' has no '='."));
        }
    }

    fn add_section(&mut self, header: &str, line: u32) {
        let (kind, name) = header.split_once(char::is_whitespace).unwrap_or((header, ""));
        let section = IniSection {
            keys: Vec::new(),
            kind: kind.into(),
            line,
            name: name.trim_start().into(),
        };
        let header = section.header();
        match self.headers.binary_search_by(|(earlier, _)| earlier.cmp(&header)) {
            Ok(index) => self.report_repeated_section(&header, self.headers[index].1, line),
            Err(index) => {
                self.headers.insert(index, (header, line));
                self.sections.push(section);
                self.key_target = KeyTarget::Section;
            }
        }
    }

    fn report_repeated_section(&mut self, header: &str, earlier_line: u32, line: u32) {
        let message = format!("Section '{header}' is already defined on line {earlier_line}.");
        self.findings.add(line, message);
        self.key_target = KeyTarget::Skipped;
    }

    fn add_key(&mut self, name: &str, value: &str, line: u32) {
        match (&self.key_target, self.sections.last_mut()) {
            (KeyTarget::Section, Some(section)) => {
                if let Err(message) = insert_key(section, name, value, line) {
                    self.findings.add(line, message);
                }
                if section.keys.len() > MAX_SECTION_KEYS {
                    self.key_target = KeyTarget::Skipped;
                }
            }
            (KeyTarget::Skipped, _) => {}
            _ => self.findings.add(line, format!("Key '{name}' comes before the first section.")),
        }
    }
}

fn insert_key(section: &mut IniSection, name: &str, value: &str, line: u32) -> Result<(), String> {
    if let Some(earlier) = section.key(name) {
        return Err(format!("Key '{name}' is already defined on line {}.", earlier.line));
    }
    section.keys.push(IniKey { line, name: name.into(), value: value.into() });
    if section.keys.len() > MAX_SECTION_KEYS {
        return Err(format!(
            "Section '{}' has more than {MAX_SECTION_KEYS} keys.",
            section.header()
        ));
    }
    Ok(())
}

/// Trims each line and ends it with a newline, since the parser doesn't accept indented headers,
/// miscounts a last line without a newline, and counts a lone carriage return as a line.
fn normalize(text: &str) -> String {
    let text = text.trim_start_matches('\u{feff}');
    text.lines().map(|line| line.trim().replace('\r', " ") + "\n").collect()
}
