//! Retry budgets and backoff.
