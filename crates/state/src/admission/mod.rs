//! Refusal at submission: what can never run, or can't start in time.
