//! The agreed configuration: versions, conflicts, checks and progress.
