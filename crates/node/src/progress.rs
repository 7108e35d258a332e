//! The progress of runs in the messages by which nodes report inventories to the owner.
//!
//! The format of these messages has no field names, and nodes of an earlier build may take part in a cell. The progress
//! therefore follows the message as a list of its own, one element per run. An earlier build ignores what follows a
//! message; a message that nothing follows comes from an earlier build.

use fulmarpier_cell::{
    event::Inventory,
    speed::Progress, //
};

/// Appends the progress of the runs in a message's inventories to the encoded message.
///
/// # Errors
///
/// Fails if the list can't be encoded.
pub fn append<'a>(
    message: Vec<u8>,
    inventories: impl Iterator<Item = &'a Inventory>,
) -> Result<Vec<u8>, postcard::Error> {
    let running = inventories.flat_map(|inventory| &inventory.running);
    let progress: Vec<Option<Progress>> = running.map(|run| run.progress).collect();
    if progress.iter().all(Option::is_none) {
        return Ok(message);
    }
    postcard::to_extend(&progress, message)
}

/// Sets the progress of the runs in a message's inventories from what follows the message. Anything but a list of one
/// element per run is ignored.
pub fn restore<'a>(following: &[u8], inventories: impl Iterator<Item = &'a mut Inventory>) {
    let Ok(progress) = postcard::from_bytes::<Vec<Option<Progress>>>(following) else {
        return;
    };
    let runs = inventories.flat_map(|inventory| &mut inventory.running);
    let mut runs: Vec<_> = runs.collect();
    if runs.len() == progress.len() {
        for (run, progress) in runs.iter_mut().zip(progress) {
            run.progress = progress;
        }
    }
}
