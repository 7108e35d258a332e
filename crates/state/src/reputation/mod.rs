//! Workers that fail everything, told from tasks that fail everywhere.
