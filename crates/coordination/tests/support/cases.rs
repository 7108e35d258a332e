//! How many random histories a run tries.

use proptest::test_runner::{
    Config,
    RngSeed, //
};

/// How many histories a run tries unless `PROPTEST_CASES` says otherwise.
const CASES: u32 = 128;
/// The seed unless `PROPTEST_RNG_SEED` says otherwise, so that every run gives the same verdict.
const SEED: u64 = 1;

/// The same histories on every run, more or others by the usual variables.
pub(crate) fn config() -> Config {
    let mut config = Config::default();
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    config.failure_persistence = None;
    config.max_shrink_iters = 20_000;
    config
}
