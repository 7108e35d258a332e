//! Sends a call of the store again whose answer is overdue.

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

use crate::port::{
    Append,
    Condition,
    Error,
    Platform, //
};

/// How many copies of an append are sent at most, the first included, where others do as well.
const MOST_COPIES: u32 = 4;
/// The longest time between two copies of an append that the whole cell waits for, and how long they are sent.
const LONGEST_GAP: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(3);

/// Appends, with another copy each time that `patience` has passed, doubled from copy to copy.
///
/// With a third of the answers lost, an append takes some 0.1 s so; without it, it takes as long as a
/// call may.
///
/// An append that a writer's order tells from its repeats is sent on and on: a store that was silent answers none of the copies
/// from before its return, and no start leaves before the owner's record is kept.
///
/// # Errors
///
/// [`Error::Refused`] only where every copy was refused; otherwise one of them may be carried out.
pub(crate) async fn append<P: Platform>(
    platform: &P,
    append: &Append,
    patience: Duration,
) -> Result<u64, Error> {
    let is_ordered = matches!(append.condition, Condition::Writer { .. });
    if !is_ordered {
        return append_copies(platform, append, patience, MOST_COPIES).await;
    }
    let copies = append_copies(platform, append, patience, u32::MAX);
    timeout(LIMIT, copies)
        .await
        .unwrap_or(Err(Error::Unanswered))
}

async fn append_copies<P: Platform>(
    platform: &P,
    append: &Append,
    patience: Duration,
    most: u32,
) -> Result<u64, Error> {
    let mut copies = FuturesUnordered::new();
    copies.push(platform.append(append.clone()));
    let mut sent = 1;
    let mut next = Instant::now() + patience;
    let mut failure: Option<Error> = None;
    loop {
        let finished = tokio::select! {
            finished = copies.next() => finished,
            () = sleep_until(next), if sent < most => {
                platform.reconnect();
                copies.push(platform.append(append.clone()));
                let gap = patience.saturating_mul(2u32.saturating_pow(sent));
                next = Instant::now() + gap.min(LONGEST_GAP.max(patience));
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
                    // The store refuses: another copy would be refused like this one.
                    sent = most;
                }
            }
            Some(settled) => return settled,
            None => return Err(failure.unwrap_or(Error::Unanswered)),
        }
        if copies.is_empty() && sent >= most {
            return Err(failure.unwrap_or(Error::Unanswered));
        }
    }
}

/// Reads, with another copy once `patience` has passed after the first one's `wait`, and after `growth` times as long
/// from copy to copy, for as long as `limit` beyond that. Only the first copy waits for something to happen.
///
/// A store that was silent answers no call from before its return. Nodes that had started meanwhile knew the
/// configuration 1.9 s after it, with copies of their first call 0.2 s after it.
///
/// # Errors
///
/// Fails with the first failure that is not a lost answer, and with [`Error::Unanswered`] once the limit is
/// reached.
pub(crate) async fn read<P, T, F>(
    platform: &P,
    wait: Duration,
    mut patience: Duration,
    growth: u32,
    limit: Duration,
    read: impl Fn(Duration) -> F,
) -> Result<T, Error>
where
    P: Platform,
    F: Future<Output = Result<T, Error>>,
{
    let mut copies = FuturesUnordered::new();
    copies.push(read(wait));
    let mut over = pin!(sleep(wait + limit));
    let mut next = Instant::now() + wait + patience;
    loop {
        let finished = tokio::select! {
            finished = copies.next() => finished,
            () = sleep_until(next) => {
                platform.reconnect();
                copies.push(read(Duration::ZERO));
                patience *= growth;
                next += patience;
                continue;
            }
            () = &mut over => return Err(Error::Unanswered),
        };
        match finished {
            Some(Err(Error::Unanswered)) if !copies.is_empty() => {}
            Some(settled) => return settled,
            None => return Err(Error::Unanswered),
        }
    }
}
