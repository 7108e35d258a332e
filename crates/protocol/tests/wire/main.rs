//! Messages: what is written is read back, and what is malformed is refused with its place.

mod arbitrary;
mod malformed;
mod round_trip;
