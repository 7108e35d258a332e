//! Whether a job is taken in, decided before it is journalled.

mod desk;
mod pace;

pub use self::{
    desk::Desk,
    pace::Pace, //
};
