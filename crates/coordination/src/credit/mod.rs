//! Leased slots of targets: the owner's ledger and the gate's balance.
