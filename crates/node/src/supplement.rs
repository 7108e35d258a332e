//! What follows the messages by which nodes report inventories to the owner, which is the progress of runs and which
//! inventories omit ends, and their hellos, which is how fast their machines are.
//!
//! The format of these messages has no field names, and nodes of an earlier build may take part in a cell. What was added
//! to inventories and hellos therefore follows the message as lists of their own. An earlier build ignores what it doesn't know at
//! the end of a message; a message that lacks a list comes from an earlier build, or has nothing to say in it.

use std::time::Duration;

use fulmarpier_cell::{
    event::Inventory,
    speed::Progress, //
};

use crate::succession::Hello;

/// Appends what the inventories of a message have beyond its format to the encoded message.
///
/// # Errors
///
/// Fails if a list can't be encoded.
pub fn append<'a>(
    message: Vec<u8>,
    inventories: impl Iterator<Item = &'a Inventory>,
) -> Result<Vec<u8>, postcard::Error> {
    let mut progress: Vec<Option<Progress>> = Vec::new();
    let mut omissions: Vec<bool> = Vec::new();
    for inventory in inventories {
        progress.extend(inventory.running.iter().map(|run| run.progress));
        omissions.push(inventory.omits_ends);
    }
    if omissions.contains(&true) {
        return postcard::to_extend(&(progress, omissions), message);
    }
    if progress.iter().all(Option::is_none) {
        return Ok(message);
    }
    postcard::to_extend(&progress, message)
}

/// Sets what the inventories of a message have beyond its format from what follows the message. A list that doesn't have
/// one element for each run, or for each inventory, is ignored.
pub fn restore<'a>(following: &[u8], inventories: impl Iterator<Item = &'a mut Inventory>) {
    let Ok((progress, following)) = postcard::take_from_bytes::<Vec<Option<Progress>>>(following)
    else {
        return;
    };
    let omissions: Vec<bool> = postcard::from_bytes(following).unwrap_or_default();
    let mut inventories: Vec<_> = inventories.collect();
    if inventories.len() == omissions.len() {
        for (inventory, omits_ends) in inventories.iter_mut().zip(omissions) {
            inventory.omits_ends = omits_ends;
        }
    }
    let runs = inventories
        .iter_mut()
        .flat_map(|inventory| &mut inventory.running);
    let mut runs: Vec<_> = runs.collect();
    if runs.len() == progress.len() {
        for (run, progress) in runs.iter_mut().zip(progress) {
            run.progress = progress;
        }
    }
}

/// Appends what a hello has beyond its format to the encoded message.
///
/// # Errors
///
/// Fails if it can't be encoded.
pub fn append_probe(message: Vec<u8>, hello: &Hello) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(&hello.pace.probe, message)
}

/// Sets what a hello has beyond its format from what follows the message; a hello of an earlier build has nothing there.
pub fn restore_probe(following: &[u8], hello: &mut Hello) {
    let probe = postcard::take_from_bytes::<Duration>(following);
    hello.pace.probe = probe.map_or(Duration::ZERO, |(probe, _)| probe);
}
