//! Rendezvous hashing: every pair has a fixed score and the highest score wins.
//!
//! Source: D. Thaler and C. Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996. The
//! mixing function is the finaliser of SplitMix64.

/// Returns the score of `candidate` for `key`; the same on every node and in every version.
pub fn score(key: u64, candidate: u64) -> u64 {
    mix(mix(key) ^ candidate.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Spreads every bit of the input over the whole output.
pub(crate) fn mix(input: u64) -> u64 {
    let mut z = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
