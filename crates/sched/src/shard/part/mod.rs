//! Jobs that run in more than one shard: this shard as their home, and as host of parts.

mod division;
mod ending;
mod home;
mod host;
mod view;

pub(crate) use self::home::State;
