//! Suggests the nearest known name for a misspelt one.

/// A name is suggested if its edit distance is at most the length of the longer name divided by
/// this number.
const MAX_DISTANCE_DIVISOR: usize = 2;

/// Maximum number of known names that are compared.
const MAX_CANDIDATES: usize = 1_000;

/// Returns the end of a message: `; did you mean '…'?` with the nearest of `known`, or a full stop
/// if none is near.
pub fn hint<I, S>(name: &str, known: I) -> String
where
    I: IntoIterator<Item = S>,
    S: AsRef<str>,
{
    let nearest = known
        .into_iter()
        .take(MAX_CANDIDATES)
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate.as_ref()), candidate))
        .min_by_key(|(distance, _)| *distance)
        .filter(|(distance, candidate)| is_near(*distance, name, candidate.as_ref()));
    match nearest {
        Some((_, candidate)) => format!("; did you mean '{}'?", candidate.as_ref()),
        None => ".".into(),
    }
}

fn is_near(distance: usize, name: &str, candidate: &str) -> bool {
    let longer_chars = name.chars().count().max(candidate.chars().count());
    distance <= longer_chars / MAX_DISTANCE_DIVISOR
}
