//! Settings of the programs: JSON, checked as a whole.
