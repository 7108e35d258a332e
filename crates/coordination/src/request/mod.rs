//! At most once: the ledger of idempotency keys.
