//! Tables.
