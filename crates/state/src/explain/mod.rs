//! Why a job is where it is, taken from the record of its last decision.

mod explanation;

pub use self::explanation::Explanation;
