//! What follows the inventories in messages between nodes of this build and of earlier ones.

use fulmarpier_cell::{
    event::{
        Inventory,
        Running, //
    },
    id::{
        JobId,
        Run,
        StepId, //
    },
    speed::Progress,
};
use fulmarpier_node::supplement;
use rstest::rstest;

fn inventory(percentages: &[Option<f64>]) -> Inventory {
    let step = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    let running = (0u16..).zip(percentages).map(|(index, percent)| Running {
        task: step.task(index),
        run: Run(1),
        checkpoint: None,
        load: 0,
        progress: percent.map(|percent| Progress::try_from(percent).unwrap()),
    });
    Inventory {
        running: running.collect(),
        ..Inventory::default()
    }
}

/// Encodes inventories as a node of this build does.
fn encode(inventories: &[Inventory]) -> Vec<u8> {
    let message = postcard::to_stdvec(inventories).unwrap();
    supplement::append(message, inventories.iter()).unwrap()
}

/// Decodes inventories as a node of this build does.
fn decode(message: &[u8]) -> Vec<Inventory> {
    let (mut inventories, following) =
        postcard::take_from_bytes::<Vec<Inventory>>(message).unwrap();
    supplement::restore(following, inventories.iter_mut());
    inventories
}

fn inventories() -> Vec<Inventory> {
    let percentages: [&[Option<f64>]; 3] = [&[Some(12.0), None, Some(99.0)], &[], &[Some(0.0)]];
    percentages.map(inventory).to_vec()
}

/// Guards against progress that is lost on its way to the owner, or that arrives for another run.
#[test]
fn progress_arrives_with_its_run() {
    assert_eq!(decode(&encode(&inventories())), inventories());
}

/// Guards against an inventory that omits ends and seems whole to the owner.
#[rstest]
#[case::beside_progress(inventories())]
#[case::without_progress(vec![inventory(&[None]), inventory(&[])])]
#[case::without_runs(vec![inventory(&[]), inventory(&[])])]
fn the_omission_of_ends_arrives_with_its_inventory(#[case] mut inventories: Vec<Inventory>) {
    inventories[1].omits_ends = true;
    assert_eq!(decode(&encode(&inventories)), inventories);
}

/// Guards against inventories that an owner of an earlier build can't decode.
#[test]
fn an_earlier_build_decodes_the_message_without_progress() {
    let expected: Vec<Inventory> = inventories()
        .into_iter()
        .map(|mut inventory| {
            inventory
                .running
                .iter_mut()
                .for_each(|run| run.progress = None);
            inventory
        })
        .collect();
    let decoded: Vec<Inventory> = postcard::from_bytes(&encode(&inventories())).unwrap();
    assert_eq!(decoded, expected);
}

/// Guards against inventories that are refused, or progress that is misattributed, because of what follows a message.
#[rstest]
#[case::earlier_build(&[])]
#[case::too_short(&[1, 0])]
#[case::undecodable(&[255, 255, 255])]
fn an_invalid_list_of_progress_is_ignored(#[case] following: &[u8]) {
    let mut message = postcard::to_stdvec(&inventories()).unwrap();
    message.extend(following);
    let decoded = decode(&message);
    let mut running = decoded.iter().flat_map(|inventory| &inventory.running);
    assert_eq!(decoded.len(), 3);
    assert!(running.all(|run| run.progress.is_none()));
}
