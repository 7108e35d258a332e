//! A node of a cell.
//!
//! All nodes run the same program. Each node accepts jobs from callers and writes their records to the store. One node
//! at a time owns the cell and makes its scheduling decisions; the others ask the advice service and send orders to
//! workers on its behalf. A node reaches the platform through the [`platform::Platform`] that it is built with.
//!
//! | module | responsibility |
//! |---|---|
//! | [`assignment`] | assigns workers to the nodes that send their orders |
//! | `config_exchange` | reads the configuration from the owner while the store is silent |
//! | `dispatch` | sends orders to workers on behalf of the owner and reports the results |
//! | `evacuation` | the data centres that the operator has evacuated |
//! | `fallback` | replaces invalid records of other writers by the last valid ones |
//! | [`frontend`] | submits, looks up and cancels jobs for callers |
//! | `health` | tracks whether and how fast the store answers this node |
//! | `hedge` | sends another copy of a store call whose answer is overdue |
//! | `intake` | writes jobs and cancellations to the store in batches |
//! | `lag` | measures how late timers and events run in this process |
//! | `member` | follows the ownership of the cell and claims it |
//! | `message` | the messages between nodes |
//! | [`network`] | the network between nodes |
//! | `node` | starts and stops a node and serves the requests of its peers |
//! | `operator` | how current this node's copy of the operator's records is |
//! | `order` | orders to workers and their results |
//! | `owner` | the owner's actor, its takeover, and its reads and writes of the store |
//! | [`platform`] | the interface to the store, the workers and the advice service |
//! | [`pack`] | divides what is sent into calls of a bounded size |
//! | [`supplement`] | what follows the inventories in messages between nodes |
//! | `rejection_log` | which rejected records have been logged |
//! | [`retry_delay`] | how long a refused caller should wait before it retries |
//! | [`revocation`] | how long a node may accept keys while it can't read the configuration |
//! | `shared` | the state that the components of a node share |
//! | [`succession`] | decides which node should own the cell next and when an owner should give up |
//! | `telemetry` | logs and metrics |
//! | `watch` | reads topics of the store and follows the operator's records |

pub mod assignment;
pub mod client_limits;
mod config_exchange;
mod dispatch;
mod evacuation;
mod fallback;
pub mod frontend;
mod health;
mod hedge;
mod intake;
mod lag;
mod member;
mod message;
pub mod network;
mod node;
mod operator;
mod order;
mod owner;
pub mod pack;
pub mod platform;
mod rejection_log;
pub mod retry_delay;
pub mod revocation;
mod shared;
pub mod succession;
pub mod supplement;
mod telemetry;
mod watch;
pub mod work;

pub use self::{
    node::{
        Error,
        Identity,
        Node,
        Parts, //
    },
    telemetry::Meter,
};
