//! The word that someone probably meant.

/// How similar a word has to be, from 0 (nothing alike) to 1 (the same).
const LEAST_SIMILARITY: f64 = 0.75;

/// Returns the candidate most like `word`, if any is like enough; the first one wins a tie.
///
/// The measure is that of Jaro and Winkler, which favours words that begin alike.
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let word = word.to_lowercase();
    let mut best = None;
    let mut best_similarity = LEAST_SIMILARITY;
    for candidate in candidates {
        let similarity = strsim::jaro_winkler(&word, candidate);
        if similarity > best_similarity {
            best = Some(candidate);
            best_similarity = similarity;
        }
    }
    best
}
