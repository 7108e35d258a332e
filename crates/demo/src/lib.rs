//! The whole path in one process on the embedded stand-ins.

mod cluster;

pub use self::cluster::{
    Cluster,
    Error,
    Size, //
};
