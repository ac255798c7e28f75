//! Parsers for the values of INI keys.
//!
//! Each parser takes the key and its value; an error is a sentence for a finding.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::name::Name;
use crate::nearest_name::hint;

/// Characters that names may contain, for messages.
pub const NAME_CHARACTERS: &str = "ASCII letters and digits, '-', '_' and '.'";

const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1_000;

const UNITS_BY_SUFFIX: &[(&str, &str)] = &[
    ("_bytes", " of bytes"),
    ("_ms", " of milliseconds"),
    ("_per_s", " of tokens per second"),
    ("_tokens", " of tokens"),
];

/// Parses an address that others connect to, such as `10.1.0.7:8080`.
///
/// # Errors
///
/// Returns a sentence if the value isn't an IP address with a port, if the IP address is
/// unspecified, or if the port is 0.
pub fn address(key: &str, value: &str) -> Result<SocketAddr, String> {
    let address = listen_address(key, value)?;
    if address.port() == 0 {
        return Err(format!("'{key}' must have a port other than 0, not '{value}'."));
    }
    if address.ip().is_unspecified() {
        return Err(format!("'{key}' must name one machine, not '{value}'."));
    }
    Ok(address)
}

/// Returns a parser for one of the words in `choices`.
///
/// # Errors
///
/// The parser returns a sentence with the choices if the value is none of them.
pub fn choice<'a, T>(
    choices: &'a [(&'static str, T)],
) -> impl Fn(&str, &str) -> Result<T, String> + 'a
where
    T: Copy,
{
    move |key, value| match choices.iter().find(|(word, _)| *word == value) {
        Some((_, choice)) => Ok(*choice),
        None => {
            let words = choices.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
            Err(format!("'{key}' must be one of {words}, not '{value}'."))
        }
    }
}

/// Parses `true` or `false`.
///
/// # Errors
///
/// Returns a sentence if the value is neither.
pub fn flag(key: &str, value: &str) -> Result<bool, String> {
    value.parse().map_err(|_| format!("'{key}' must be true or false, not '{value}'."))
}

/// Parses an address to listen on, whose port may be 0.
///
/// # Errors
///
/// Returns a sentence if the value isn't an IP address with a port.
pub fn listen_address(key: &str, value: &str) -> Result<SocketAddr, String> {
    value.parse().map_err(|_| format!("'{key}' must be an IP address with a port, not '{value}'."))
}

/// Parses a name.
///
/// # Errors
///
/// Returns a sentence if the value has a character that names may not contain.
pub fn name(key: &str, value: &str) -> Result<Name, String> {
    if value.chars().all(is_name_character) {
        return Ok(value.into());
    }
    Err(format!("'{key}' may contain only {NAME_CHARACTERS}, not '{value}'."))
}

/// Returns a parser for whole numbers in `range`; messages name the unit by the suffix of the key.
///
/// # Errors
///
/// The parser returns a sentence if the value isn't such a number.
pub fn number<T>(range: RangeInclusive<u64>) -> impl Fn(&str, &str) -> Result<T, String>
where
    T: TryFrom<u64>,
{
    move |key, value| {
        let number = value.parse().ok().filter(|number| range.contains(number));
        number.and_then(|number| T::try_from(number).ok()).ok_or_else(|| {
            let (from, to) = (range.start(), range.end());
            let unit = unit_of(key);
            format!("'{key}' must be a whole number{unit} from {from} to {to}, not '{value}'.")
        })
    }
}

/// Returns a parser for the name of a section of `kind` that is in `known`, which is sorted.
///
/// # Errors
///
/// The parser returns a sentence with the nearest name if there is no such section.
pub fn reference<'a>(
    kind: &'a str,
    known: &'a [Name],
) -> impl Fn(&str, &str) -> Result<Name, String> + 'a {
    move |key, value| match known.binary_search_by(|name| (**name).cmp(value)) {
        Ok(index) => Ok(known[index].clone()),
        Err(_) => {
            let suggestion = hint(value, known);
            Err(format!("'{key}' names '{value}', but there is no '[{kind} {value}]'{suggestion}"))
        }
    }
}

/// Parses a time of one millisecond to one day, in milliseconds.
///
/// # Errors
///
/// Returns a sentence if the value isn't such a time.
pub fn time_ms(key: &str, value: &str) -> Result<u64, String> {
    number(1..=MAX_TIME_MS)(key, value)
}

/// Returns whether names may contain `character`.
pub fn is_name_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.')
}

fn unit_of(key: &str) -> &'static str {
    UNITS_BY_SUFFIX.iter().find(|(suffix, _)| key.ends_with(suffix)).map_or("", |(_, unit)| *unit)
}
