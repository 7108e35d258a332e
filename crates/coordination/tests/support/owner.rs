//! An owner that opens a stream which always answers.

use fulmarpier_coordination::journal::{
    Effect,
    Opened,
    Opening,
    Settings, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId, //
    },
};

use crate::stream::Stream;

/// Opens the stream at an epoch.
pub(crate) fn open(log: &mut Stream, epoch: u64, settings: &Settings, now: Timestamp) -> Opened {
    let mut opening = Opening::new(
        Stream::name(),
        NodeId(1),
        Epoch(epoch),
        settings.clone(),
        epoch,
    );
    while let Some(effect) = opening.poll(now) {
        match effect {
            Effect::Append(append) => opening.appended(log.append(&append.records), now),
            Effect::Read(read) => match log.read(&read, log.end()) {
                Ok(page) => opening.on_page(&page, now),
                Err(error) => opening.failed(&error, now),
            },
            other => panic!("unexpected: {other:?}"),
        }
    }
    opening.finish(now).expect("an open journal")
}
