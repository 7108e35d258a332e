//! Placeholder.
fn main() {}
