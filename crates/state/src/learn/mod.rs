//! Run times and sizes learned from lagging usage reports.
