//! API keys and workspaces: which callers a node admits, and what callers of one workspace can see of another.

use std::time::Duration;

use fulmarpier_cell::{
    config::Ingress,
    engine::State,
    id::{
        JobId,
        QueueName, //
    },
    workspace::KeyDigest,
};
use fulmarpier_node::{
    Node,
    frontend::{
        Frontend,
        Refusal, //
    },
    platform::Topic,
    revocation::RevocationLimit, //
};
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    platform::{
        self,
        Fake,
        Mode, //
    },
    support::{
        SECOND,
        job,
        start_node,
        two_step_job,
        unplaceable_step,
        wait_until,
        wait_until_ready, //
    },
};

fn ingress(is_public: bool) -> Ingress {
    Ingress {
        host: "host".to_owned(),
        prefix: "/".to_owned(),
        queue: QueueName::from("q"),
        is_public,
    }
}

/// Writes a configuration that names workspaces with their keys. Its version grows with the length of the text, so a
/// later configuration needs a longer text.
fn configure(platform: &Fake, text: &str) {
    let value = format!("keys: {text}");
    platform.write(Topic::Configuration, "config", value.as_bytes());
}

/// Authenticates a caller by its key.
fn authenticate(node: &Node<Fake>, key: &str) -> Result<Frontend<Fake>, Refusal> {
    let frontend = node.frontend();
    let config = frontend.config().ok_or(Refusal::NotReady)?;
    frontend.authenticate(&config, &ingress(false), Some(&KeyDigest::of(key)))
}

/// Returns the version of the configuration that [`configure`] writes for a text.
fn version(text: &str) -> u64 {
    platform::version(format!("keys: {text}").as_bytes())
}

async fn wait_until_admitted(node: &Node<Fake>, key: &str) -> Frontend<Fake> {
    wait_until(|| async {
        let config = node.frontend().config();
        let has_keys = config.is_some_and(|config| config.directory.is_some());
        has_keys && authenticate(node, key).is_ok()
    })
    .await;
    authenticate(node, key).unwrap()
}

async fn submit(frontend: &Frontend<Fake>, id: u64) -> Result<(), Refusal> {
    let deadline = Instant::now() + 3 * SECOND;
    let queue = QueueName::from("q");
    frontend
        .submit(&queue, JobId(id), two_step_job(), deadline)
        .await
}

async fn cancel(frontend: &Frontend<Fake>, id: u64) -> Result<(), Refusal> {
    let deadline = Instant::now() + 3 * SECOND;
    frontend
        .cancel(&QueueName::from("q"), JobId(id), deadline)
        .await
}

async fn wait_until_completed(frontend: &Frontend<Fake>, id: u64) {
    wait_until(|| async { frontend.job_state(JobId(id)).await == Ok(State::Completed) }).await;
}

#[tokio::test]
async fn callers_need_a_valid_key_unless_their_queue_is_public() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let config = one.frontend().config().unwrap();
    let try_key = |is_public, key: Option<&str>| {
        let frontend = one.frontend();
        let config = frontend.config().unwrap();
        let key = key.map(KeyDigest::of);
        frontend
            .authenticate(&config, &ingress(is_public), key.as_ref())
            .map(drop)
    };
    let result = one.frontend().authenticate(&config, &ingress(false), None);
    assert!(result.is_ok(), "without workspaces no key is needed");
    configure(&platform, "a=ka,kb b=kc");
    wait_until_admitted(&one, "ka").await;
    assert_eq!(try_key(false, Some("kb")), Ok(()));
    assert_eq!(try_key(false, Some("kd")), Err(Refusal::Unauthorized));
    assert_eq!(try_key(false, Some("")), Err(Refusal::Unauthorized));
    assert_eq!(try_key(false, None), Err(Refusal::Unauthorized));
    assert_eq!(try_key(true, None), Ok(()));
    // The last key is removed: no caller is admitted. The blanks make the configuration longer, so its version is
    // higher than the previous one.
    configure(&platform, "                        ");
    wait_until(|| async { try_key(false, Some("ka")) == Err(Refusal::Unauthorized) }).await;
}

#[tokio::test]
async fn callers_can_t_see_count_or_cancel_jobs_of_another_workspace() {
    let platform = Fake::new();
    let (one, two) = (start_node("one", &platform), start_node("two", &platform));
    configure(&platform, "a=ka b=kb");
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    let own = wait_until_admitted(&one, "ka").await;
    let other = wait_until_admitted(&two, "kb").await;
    let queue = QueueName::from("q");
    let deadline = Instant::now() + 3 * SECOND;
    let waiting = job(vec![unplaceable_step()], None);
    own.submit(&queue, JobId(1), waiting, deadline)
        .await
        .unwrap();
    wait_until(|| async { own.pending(&queue).await == Ok(1) }).await;
    assert_eq!(other.pending(&queue).await, Ok(0));
    assert_eq!(other.job_state(JobId(1)).await, Err(Refusal::NoJob));
    assert_eq!(cancel(&other, 1).await, Err(Refusal::NoJob));
    assert_eq!(own.job_state(JobId(1)).await, Ok(State::Queued));
    // The same holds for a job that is not known yet.
    assert_eq!(cancel(&other, 2).await, Err(Refusal::NoJob));
    submit(&own, 2).await.unwrap();
    wait_until_completed(&own, 2).await;
    assert_eq!(other.job_state(JobId(2)).await, Err(Refusal::NoJob));
    assert_eq!(cancel(&own, 1).await, Ok(()));
    wait_until(|| async { own.job_state(JobId(1)).await == Ok(State::Cancelled) }).await;
}

/// One node accepts both submissions, so both records are in one partition.
#[tokio::test]
async fn a_job_submitted_under_the_id_of_another_workspaces_job_doesn_t_replace_it() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    configure(&platform, "a=ka b=kb");
    wait_until_ready(&one).await;
    let (own, other) = (
        wait_until_admitted(&one, "ka").await,
        wait_until_admitted(&one, "kb").await,
    );
    submit(&own, 1).await.unwrap();
    submit(&other, 1).await.unwrap();
    wait_until_completed(&own, 1).await;
    assert_eq!(platform.starts(1), 4);
    assert_eq!(other.job_state(JobId(1)).await, Err(Refusal::NoJob));
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    one.leave();
    one.wait_for_release(SECOND).await;
    one.stop(SECOND).await;
    let own = wait_until_admitted(&two, "ka").await;
    wait_until_completed(&own, 1).await;
    assert_eq!(platform.starts(1), 4);
}

#[rstest]
#[case::another_key_of_the_workspace("a=ka,kb b=kc", "kb", Ok(State::Completed))]
#[case::the_key_was_moved_to_another_workspace("a=kb b=ka ", "ka", Err(Refusal::NoJob))]
#[case::the_key_was_replaced("a=kb,kc", "kb", Ok(State::Completed))]
#[tokio::test]
async fn a_job_stays_in_its_workspace_whatever_happens_to_its_key(
    #[case] later: &str,
    #[case] key: &str,
    #[case] expected: Result<State, Refusal>,
) {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    configure(&platform, "a=ka");
    wait_until_ready(&one).await;
    let own = wait_until_admitted(&one, "ka").await;
    submit(&own, 1).await.unwrap();
    configure(&platform, later);
    wait_until_completed(&own, 1).await;
    wait_until(|| async {
        let frontend = one.frontend();
        let config = frontend.config().unwrap();
        config.version == version(later)
    })
    .await;
    let frontend = wait_until_admitted(&one, key).await;
    assert_eq!(frontend.job_state(JobId(1)).await, expected);
    // Submitted again by a caller of its workspace, it is the same job.
    if expected.is_ok() {
        submit(&frontend, 1).await.unwrap();
        sleep(SECOND / 2).await;
        assert_eq!(platform.starts(1), 4);
    }
}

/// The store does not serve a node's machine, and the operator revokes a key meanwhile.
#[rstest]
#[case::unresponsive(Mode::Unresponsive)]
#[case::refusing(Mode::Refusing)]
#[tokio::test]
async fn a_node_that_can_t_reach_the_store_gets_the_configuration_from_the_owner(
    #[case] mode: Mode,
) {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let other_machine = platform.another_machine();
    let two = start_node("two", &other_machine);
    configure(&platform, "a=ka");
    wait_until_ready(&two).await;
    wait_until_admitted(&two, "ka").await;
    other_machine.set_own_mode(mode);
    configure(&platform, "a=kb b=kc");
    let revoked = Instant::now();
    wait_until(|| async { authenticate(&two, "ka").err() == Some(Refusal::Unauthorized) }).await;
    let took = revoked.elapsed();
    assert!(took < 3 * SECOND, "{took:?}");
    assert!(authenticate(&two, "kb").is_ok());
    // The owner keeps confirming that there is nothing newer.
    sleep(3 * SECOND).await;
    assert_eq!(authenticate(&two, "ka").err(), Some(Refusal::Unauthorized));
    assert!(authenticate(&two, "kb").is_ok());
}

/// During an outage no key can be revoked, but an unknown key may have been added just before.
#[tokio::test]
async fn known_keys_stay_valid_during_an_outage() {
    let platform = Fake::new();
    let (one, two) = (start_node("one", &platform), start_node("two", &platform));
    configure(&platform, "a=ka");
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    wait_until_admitted(&one, "ka").await;
    wait_until_admitted(&two, "ka").await;
    platform.set_mode(Mode::Unresponsive);
    sleep(4 * SECOND).await;
    for node in [&one, &two] {
        assert!(authenticate(node, "ka").is_ok());
        assert_eq!(authenticate(node, "kb").err(), Some(Refusal::NotReady));
    }
}

#[rstest]
#[case::no_limit(None, 3_600_000, false)]
#[case::before_the_limit(Some(5_000), 4_400, false)]
#[case::at_the_limit_less_the_call_time(Some(5_000), 4_500, true)]
#[case::after_the_limit(Some(5_000), 60_000, true)]
fn keys_are_refused_shortly_before_the_revocation_limit(
    #[case] within_ms: Option<u64>,
    #[case] age_ms: u64,
    #[case] expected: bool,
) {
    let limit = RevocationLimit {
        max_config_age: within_ms.map(Duration::from_millis),
    };
    assert_eq!(
        limit.is_exceeded_by(Duration::from_millis(age_ms)),
        expected
    );
}
