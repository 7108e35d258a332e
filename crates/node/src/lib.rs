//! A node of a cell.
//!
//! All nodes run the same program. Each takes callers' jobs and puts them on record; one of them
//! owns the cell at a time and decides; the others ask for advice on its behalf. Whatever the
//! platform offers comes through the [`port::Platform`] that the node is made with.
//!
//! | module | what it does |
//! |---|---|
//! | [`comeback`] | when a caller that was refused should come back |
//! | `edition` | the configuration by word of the owner |
//! | `evacuation` | which data centres the operator has evacuated |
//! | [`front`] | takes, shows and cancels jobs at any node |
//! | `health` | whether the store answers this node |
//! | `hand` | gives orders to workers on behalf of the owner |
//! | `hedge` | sends an append again whose answer is overdue |
//! | `intake` | groups acceptances and cancellations into appends |
//! | `member` | who owns the cell, and when this node claims it |
//! | `operator` | how closely this node follows what the operator writes |
//! | `order` | orders to workers, and what came of them |
//! | `owner` | the owner's actor, its takeover, and what it reads and writes |
//! | `watch` | follows the configuration and the list of workers |
//! | `message` | what nodes ask each other |
//! | `pulse` | how late this process gets its processor |
//! | `report` | logs and metrics |
//! | [`revocation`] | for how long a node may go by keys while it can't read the configuration |
//! | [`share`] | which node gives the orders to which worker |
//! | [`succession`] | who should own the cell next, and when an owner should let go |

pub mod comeback;
mod edition;
mod evacuation;
pub mod front;
mod hand;
mod health;
mod hedge;
mod intake;
mod member;
mod message;
mod node;
mod operator;
mod order;
mod owner;
pub mod port;
mod pulse;
mod recall;
mod report;
pub mod revocation;
pub mod share;
mod shared;
pub mod succession;
mod watch;

pub use self::{
    node::{
        Error,
        Identity,
        Node,
        Parts, //
    },
    report::Meter,
};
