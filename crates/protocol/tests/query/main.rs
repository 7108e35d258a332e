//! The operators' language: meaning, mistakes with their place, and conditions on tables.

mod arbitrary;
mod filter;
mod meaning;
mod mistakes;
