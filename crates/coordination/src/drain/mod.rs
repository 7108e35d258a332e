//! Leaving without cutting anything off.
