//! Hash collections with a fast, non-keyed hasher.
//!
//! Keys here are ids that the system itself hands out, so resistance to chosen keys is not needed.

/// A hash map with a fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// The hasher of both.
pub type FxHasher = rustc_hash::FxHasher;

/// A hash set with a fast hasher.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
