//! Typed values of INI keys; each function takes key and value, and its error is a sentence.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::name::Name;
use crate::nearest_name::hint;

/// The characters that names may have, for messages.
pub const NAME_CHARACTERS: &str = "letters, digits, '-', '_' and '.' of ASCII";

const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1_000;

const UNITS_BY_SUFFIX: &[(&str, &str)] = &[
    ("_bytes", " of bytes"),
    ("_ms", " of milliseconds"),
    ("_per_s", " of tokens per second"),
    ("_tokens", " of tokens"),
];

/// Reads an address that others connect to, such as `10.1.0.7:8080`.
///
/// # Errors
///
/// Returns a sentence if the value isn't an IP address with a port, or names no single machine.
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

/// Reads one of `choices`.
///
/// # Errors
///
/// Returns a sentence with the choices if the value is none of them.
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

/// Reads `true` or `false`.
///
/// # Errors
///
/// Returns a sentence if the value is neither.
pub fn flag(key: &str, value: &str) -> Result<bool, String> {
    value.parse().map_err(|_| format!("'{key}' must be true or false, not '{value}'."))
}

/// Reads an address to listen on, whose port may be 0.
///
/// # Errors
///
/// Returns a sentence if the value isn't an IP address with a port.
pub fn listen_address(key: &str, value: &str) -> Result<SocketAddr, String> {
    value.parse().map_err(|_| format!("'{key}' must be an IP address with a port, not '{value}'."))
}

/// Reads a name.
///
/// # Errors
///
/// Returns a sentence if the value has a character that names can't have.
pub fn name(key: &str, value: &str) -> Result<Name, String> {
    if value.chars().all(is_name_character) {
        return Ok(value.into());
    }
    Err(format!("'{key}' may have only {NAME_CHARACTERS}, not '{value}'."))
}

/// Reads a whole number within `range`; the unit in messages follows from the suffix of the key.
///
/// # Errors
///
/// Returns a sentence if the value isn't such a number.
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

/// Reads the name of a section `kind` that is one of `known`, which is sorted.
///
/// # Errors
///
/// Returns a sentence with the nearest name if there is no such section.
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

/// Reads a time of at least one millisecond and at most a day.
///
/// # Errors
///
/// Returns a sentence if the value isn't such a time.
pub fn time_ms(key: &str, value: &str) -> Result<u64, String> {
    number(1..=MAX_TIME_MS)(key, value)
}

/// Whether names may have `character`.
pub fn is_name_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.')
}

fn unit_of(key: &str) -> &'static str {
    UNITS_BY_SUFFIX.iter().find(|(suffix, _)| key.ends_with(suffix)).map_or("", |(_, unit)| *unit)
}
