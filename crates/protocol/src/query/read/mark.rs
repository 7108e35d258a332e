//! Reads `drain`, `undrain`, `quarantine` and `release`.

use fulmarpier_coordination::config::Change;
use fulmarpier_state::id::WorkerId;

use super::cursor::Cursor;
use crate::query::Error;

const WORKER: &str = "the id of a worker, as in `w17`";
const NODE: &str = "the id of a node, as in `n2`";

pub(super) fn read(cursor: &mut Cursor<'_>, verb: &str) -> Result<Change, Error> {
    match verb {
        "drain" => drain(cursor),
        "undrain" => undrain(cursor),
        "quarantine" => {
            let worker = worker(cursor)?;
            Ok(Change::Quarantine { worker })
        }
        _ => {
            let worker = worker(cursor)?;
            Ok(Change::Release { worker })
        }
    }
}

fn drain(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    match cursor.word_of(&["worker", "node"])? {
        "worker" => {
            let worker = cursor.value(WORKER)?;
            Ok(Change::DrainWorker { worker })
        }
        _ => {
            let node = cursor.value(NODE)?;
            Ok(Change::DrainNode { node })
        }
    }
}

fn undrain(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    match cursor.word_of(&["worker", "node"])? {
        "worker" => {
            let worker = cursor.value(WORKER)?;
            Ok(Change::UndrainWorker { worker })
        }
        _ => {
            let node = cursor.value(NODE)?;
            Ok(Change::UndrainNode { node })
        }
    }
}

fn worker(cursor: &mut Cursor<'_>) -> Result<WorkerId, Error> {
    cursor.word_of(&["worker"])?;
    cursor.value(WORKER)
}
