//! The scheduler of one shard: its life cycle, its invariants and the quality of its decisions.

mod faults;
mod life;
mod load;
mod quality;
mod random;
mod recovery;
mod sharing;
mod support;
mod urgent;
mod weights;
mod withdraw;
