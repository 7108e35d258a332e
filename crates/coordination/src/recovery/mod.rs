//! From snapshot, tail and inventories to a shard that places again.

mod image;

pub use self::image::{
    Gone,
    Image,
    Job,
    Request,
    Settled,
    TaskState, //
};
