//! Hedged calls to the store: sends another copy of a call whose answer is overdue.

use std::{
    pin::pin,
    time::Duration, //
};

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use tokio::time::{
    Instant,
    sleep,
    sleep_until,
    timeout, //
};

use crate::platform::{
    Append,
    Condition,
    Error,
    Platform, //
};

/// The maximum number of copies, including the first, of an unordered append: one without [`Condition::Writer`].
const MAX_COPIES: u32 = 4;
/// The maximum time between two copies of an append, unless the caller's `retry_delay` is longer. The whole cell waits
/// for an ordered append.
const MAX_COPY_GAP: Duration = Duration::from_millis(400);
/// The timeout of an ordered append with all its copies.
const ORDERED_APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Appends to the store and sends another copy after `retry_delay`, which doubles with each copy.
///
/// With a third of the answers lost, an append takes about 0.1 s this way. Without copies, it takes up to the timeout
/// of a call.
///
/// The store recognises the copies of an append with [`Condition::Writer`] by the sequence number, so they are sent
/// until the timeout. A store that recovers from an outage answers none of the copies sent before, and no step starts
/// before the owner's record is stored.
///
/// # Errors
///
/// Fails with [`Error::Refused`] only if every copy was refused; otherwise one of them may still take effect.
pub(crate) async fn append<P: Platform>(
    platform: &P,
    append: &Append,
    retry_delay: Duration,
) -> Result<u64, Error> {
    let is_ordered = matches!(append.condition, Condition::Writer { .. });
    if !is_ordered {
        return append_copies(platform, append, retry_delay, MAX_COPIES).await;
    }
    let copies = append_copies(platform, append, retry_delay, u32::MAX);
    timeout(ORDERED_APPEND_TIMEOUT, copies)
        .await
        .unwrap_or(Err(Error::Unanswered))
}

/// Appends with up to `max_copies` copies of the call.
async fn append_copies<P: Platform>(
    platform: &P,
    append: &Append,
    retry_delay: Duration,
    max_copies: u32,
) -> Result<u64, Error> {
    let mut copies = FuturesUnordered::new();
    copies.push(platform.append(append.clone()));
    let mut sent = 1;
    let mut next = Instant::now() + retry_delay;
    let mut failure: Option<Error> = None;
    loop {
        let finished = tokio::select! {
            finished = copies.next() => finished,
            () = sleep_until(next), if sent < max_copies => {
                platform.reconnect();
                copies.push(platform.append(append.clone()));
                let gap = retry_delay.saturating_mul(2u32.saturating_pow(sent));
                next = Instant::now() + gap.min(MAX_COPY_GAP.max(retry_delay));
                sent += 1;
                continue;
            }
        };
        match finished {
            Some(Err(error @ (Error::Refused(_) | Error::Unanswered))) => {
                failure = Some(match failure {
                    Some(Error::Unanswered) => Error::Unanswered,
                    _ => error,
                });
                if matches!(failure, Some(Error::Refused(_))) && copies.is_empty() {
                    // The store would refuse another copy as well.
                    sent = max_copies;
                }
            }
            Some(settled) => return settled,
            None => return Err(failure.unwrap_or(Error::Unanswered)),
        }
        if copies.is_empty() && sent >= max_copies {
            return Err(failure.unwrap_or(Error::Unanswered));
        }
    }
}

/// Reads from the store and sends another copy of the call while no answer arrives.
///
/// The first copy lets the store delay its answer by `wait` until there is a record; the others don't. The second copy
/// is sent when `retry_delay` has passed after `wait`, and the gap grows by `delay_factor` with each copy. All
/// copies together may take `wait + limit`.
///
/// A store that recovers from an outage answers no call made before. Without copies, nodes that start during an outage
/// know the configuration 1.9 s after its end; with copies of their first call, 0.2 s after it.
///
/// # Errors
///
/// Fails with the first error other than a missing answer, and with [`Error::Unanswered`] once the limit is reached.
pub(crate) async fn read<P, T, F>(
    platform: &P,
    wait: Duration,
    mut retry_delay: Duration,
    delay_factor: u32,
    limit: Duration,
    read: impl Fn(Duration) -> F,
) -> Result<T, Error>
where
    P: Platform,
    F: Future<Output = Result<T, Error>>,
{
    let mut copies = FuturesUnordered::new();
    copies.push(read(wait));
    let mut deadline = pin!(sleep(wait + limit));
    let mut next = Instant::now() + wait + retry_delay;
    loop {
        let finished = tokio::select! {
            finished = copies.next() => finished,
            () = sleep_until(next) => {
                platform.reconnect();
                copies.push(read(Duration::ZERO));
                retry_delay *= delay_factor;
                next += retry_delay;
                continue;
            }
            () = &mut deadline => return Err(Error::Unanswered),
        };
        match finished {
            Some(Err(Error::Unanswered)) if !copies.is_empty() => {}
            Some(settled) => return settled,
            None => return Err(Error::Unanswered),
        }
    }
}
