//! The adapter to targets.

mod answer;
mod client;
mod headers;
mod pool;

pub use self::{
    answer::{
        Answer,
        Body as AnswerBody, //
    },
    client::{
        Client,
        Limits,
        Request, //
    },
};
pub use reqwest::{
    Body,
    Method,
    StatusCode,
    header::HeaderMap, //
};
