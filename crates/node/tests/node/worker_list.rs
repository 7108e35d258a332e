//! How an owner follows the list of workers.

use std::time::Duration;

use fulmarpier_node::{
    Meter,
    platform::Topic, //
};
use fulmarpier_state::unit::Millicores;
use tokio::time::sleep;

use crate::{
    platform::Fake,
    support::{
        SECOND,
        start_node_with_meter,
        wait_until,
        wait_until_ready, //
    },
};

/// How long a page of the list takes. All of them take less time than an overdue read, which is sent again.
const PAGE_DELAY: Duration = Duration::from_millis(20);
/// How many pages the list has.
const PAGES: usize = 10;

/// Returns how many workers the owner took for unlisted.
fn unlisted(meter: &Meter) -> usize {
    let text = meter.render().unwrap();
    let lines = text.lines().filter(|line| line.contains("\"unlisted\""));
    let counts = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<usize>().ok());
    counts.sum()
}

/// Guards against a worker that is taken for unlisted because it was listed again while the pages of the list were read.
#[tokio::test(start_paused = true)]
async fn a_worker_that_is_listed_again_during_a_full_read_is_not_missing() {
    let platform = Fake::with_workers(4 * PAGES - 1);
    let meter = Meter::new().unwrap();
    let one = start_node_with_meter("one", &platform, Millicores(250), meter.clone());
    wait_until_ready(&one).await;
    sleep(2 * SECOND).await;
    platform.limit_newest_reads(4);
    platform.delay_reads(Topic::Workers, PAGE_DELAY);
    let reads = || platform.reads(Topic::Workers).len();
    // The next read fails, and the one after it begins with the first page.
    platform.drop_key(Topic::Workers, "nobody");
    let before = reads();
    wait_until(|| async { reads() >= before + 2 }).await;
    let first_page = reads();
    platform.remove(Topic::Workers, "w9");
    while reads() < first_page + PAGES - 1 {
        sleep(PAGE_DELAY / 20).await;
    }
    // The last page lacks the worker; the list has it before the next read.
    sleep(PAGE_DELAY + PAGE_DELAY / 4).await;
    platform.write(Topic::Workers, "w9", b"here");
    sleep(2 * SECOND).await;
    assert!(reads() > first_page + PAGES);
    assert_eq!(unlisted(&meter), 0);
    platform.remove(Topic::Workers, "w9");
    sleep(2 * SECOND).await;
    assert_eq!(unlisted(&meter), 1);
}
