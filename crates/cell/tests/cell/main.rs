//! Tests of a cell's engine in virtual time.

mod advice_load;
mod advice_nodes;
mod announce;
mod attempts;
#[path = "../../../coordination/tests/support/cases.rs"]
mod cases;
mod crash;
mod evacuate;
mod gang;
mod history;
mod hold;
mod incarnation;
mod inventory;
mod limit;
mod order;
mod overtaking;
mod overwritten_entries;
mod pace;
mod pending;
mod preempt;
mod rate;
mod removal;
mod repeat;
mod restart;
mod scarce_nodes;
mod share;
mod shrink;
mod slow;
mod speed;
mod spread;
mod surge;
mod takeover;
mod throttling;
mod wait;
mod wide;
mod world;
