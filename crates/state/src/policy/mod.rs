//! The operators' weights and switches.
