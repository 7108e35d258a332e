//! Workers as placement sees them.
