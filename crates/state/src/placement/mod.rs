//! Which worker takes a task: the capacity index.
