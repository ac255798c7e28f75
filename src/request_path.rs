//! The normal form of request paths, which keeps a caller from evading a rule by another spelling.

/// Encoded forms of the characters that delimit parts of a path or an encoding.
const STRUCTURE_ENCODED: [&str; 5] = ["%25", "%2E", "%2F", "%3B", "%5C"];

/// Byte of a space.
const SPACE: u8 = b' ';

/// Returns whether a rule may have `path`: it is in normal form, and each of its characters has
/// only one form.
pub fn is_rule_path(path: &str) -> bool {
    let is_allowed =
        |character: char| character == '/' || character == '%' || is_unreserved(character);
    let has_one_form = |byte: u8| !byte.is_ascii() || byte == SPACE;
    is_normal(path)
        && path.chars().all(is_allowed)
        && encoded_bytes(path).flatten().all(has_one_form)
}

/// Returns `path` without its query and the slashes around it, or `None` if it isn't in normal
/// form and a server could therefore read it as another path.
pub fn normal_path(path: &str) -> Option<&str> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let path = path.strip_prefix('/').unwrap_or(path);
    let path = path.strip_suffix('/').unwrap_or(path);
    (path.is_empty() || is_normal(path)).then_some(path)
}

/// Returns whether `path` is `start` or below it, by whole segments.
pub fn path_matches(start: &str, path: &str) -> bool {
    match path.strip_prefix(start) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

fn is_normal(path: &str) -> bool {
    let segments_normal = path.split('/').all(|segment| !matches!(segment, "" | "." | ".."));
    let structure_encoded = STRUCTURE_ENCODED.iter().any(|encoded| path.contains(encoded));
    let encoding_normal =
        encoded_bytes(path).all(|byte| byte.is_some_and(|byte| !is_unreserved(char::from(byte))));
    path.is_ascii()
        && !path.contains([';', '\\'])
        && segments_normal
        && !structure_encoded
        && encoding_normal
}

/// Returns whether `character` is never encoded.
fn is_unreserved(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '.' | '_' | '~')
}

/// Iterates over the percent-encoded bytes; `None` stands for a malformed one.
fn encoded_bytes(path: &str) -> impl Iterator<Item = Option<u8>> {
    path.split('%').skip(1).map(|rest| rest.get(..2).and_then(decode))
}

/// Decodes two hexadecimal digits; only upper case is normal.
fn decode(digits: &str) -> Option<u8> {
    let is_upper = |digit: u8| matches!(digit, b'0'..=b'9' | b'A'..=b'F');
    digits.bytes().all(is_upper).then(|| u8::from_str_radix(digits, 16).ok()).flatten()
}
