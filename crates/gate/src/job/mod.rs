//! Jobs: where one is at home, and the calls about it.

mod home;
mod place;
mod query;
mod submit;

pub use self::{
    home::{
        fresh,
        home, //
    },
    place::place,
    query::{
        cancel,
        query, //
    },
    submit::{
        Submitted,
        submit, //
    },
};
