//! The whole path on the embedded stand-ins.

use fulmarpier_demo::{
    Cluster,
    Size,
    script, //
};
use slog::{
    Discard,
    Logger,
    o, //
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_demonstration_comes_to_its_end() {
    let log = Logger::root(Discard, o!());
    let size = Size {
        nodes: 3,
        workers: 24,
    };
    let cluster = Cluster::start(size, &log)
        .await
        .expect("the cluster starts");
    script::run(cluster).await.expect("every step comes out");
}
