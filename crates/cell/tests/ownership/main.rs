//! Tests of the rule by which an owner of the cell may act, with its types alone and in virtual time.

mod history;
mod outage;
mod rule;
mod world;
