//! What scheds ask each other.
