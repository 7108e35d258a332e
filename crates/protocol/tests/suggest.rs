//! The word that someone probably meant.

use fulmarpier_protocol::{
    query::Subject,
    suggest, //
};
use rstest::rstest;

/// All words that a slip of one finger makes of a word.
fn slips(word: &str) -> Vec<String> {
    let chars: Vec<char> = word.chars().collect();
    let mut slips = Vec::new();
    for place in 0..chars.len() {
        let mut missing = chars.clone();
        missing.remove(place);
        slips.push(missing);
        let mut doubled = chars.clone();
        doubled.insert(place, chars[place]);
        slips.push(doubled);
        let mut replaced = chars.clone();
        replaced[place] = 'x';
        slips.push(replaced);
        let mut swapped = chars.clone();
        swapped.swap(place, (place + 1).min(chars.len() - 1));
        slips.push(swapped);
    }
    slips.into_iter().map(String::from_iter).collect()
}

#[test]
fn slip_of_one_finger_is_always_found_out() {
    for word in Subject::WORDS {
        for slip in slips(word) {
            let found = suggest::nearest(&slip, Subject::WORDS.iter().copied());
            assert_eq!(found, Some(*word), "{slip}");
        }
    }
}

#[rstest]
#[case("frobnicate")]
#[case("")]
#[case("batch")]
fn unlike_word_gets_no_suggestion(#[case] word: &str) {
    assert_eq!(suggest::nearest(word, Subject::WORDS.iter().copied()), None);
}

#[test]
fn capitals_do_not_matter() {
    assert_eq!(suggest::nearest("JOBS", ["jobs", "tasks"]), Some("jobs"));
}
