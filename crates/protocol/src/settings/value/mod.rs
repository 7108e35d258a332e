//! Values that the settings of several programs share.

mod level;
pub(in crate::settings) mod peer;
mod token;
mod url;

pub use self::{
    level::Level,
    peer::Peer,
    token::{
        MIN_LEN as MIN_TOKEN_LEN,
        Token, //
    },
    url::Url, //
};
