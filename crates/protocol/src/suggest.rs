//! The word that someone probably meant.

/// One edit is accepted for this many characters of a candidate.
const CHARS_PER_EDIT: usize = 3;

/// Returns the candidate with the fewest edits from `word`, if they are few for its length; the
/// first one wins a tie.
///
/// An edit inserts, deletes or replaces a character or swaps two neighbours (the distance of Damerau
/// and Levenshtein).
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let word = word.to_lowercase();
    let mut best = None;
    let mut best_edits = usize::MAX;
    for candidate in candidates {
        let edits = strsim::damerau_levenshtein(&word, candidate);
        if edits <= most_edits(candidate) && edits < best_edits {
            best = Some(candidate);
            best_edits = edits;
        }
    }
    best
}

fn most_edits(candidate: &str) -> usize {
    (candidate.len() / CHARS_PER_EDIT).max(1)
}
