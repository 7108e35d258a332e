//! From the checked settings of the file to those of the parts.

use std::net::SocketAddr;

use fulmarpier_coordination::{
    credit,
    journal,
    member,
    request,
    topology, //
};
use fulmarpier_protocol::settings::{
    sched::Sched as File,
    value::Url, //
};

use super::Error;
use crate::{
    node,
    shard, //
};

/// The scheme of the platform's addresses.
const SCHEME: &str = "http://";
/// How the lease of a shard is divided to allow for clocks that run at different rates.
const DRIFT_PART: u32 = 10;

/// Returns the settings of the node.
pub(super) fn node(file: &File) -> Result<node::Settings, Error> {
    let count = topology::Count::try_from(file.shards_per_data_centre)?;
    let timings = &file.timings;
    let mut settings = node::Settings::new(file.region, count);
    settings.timing = member::Timing::default()
        .lease(timings.lease.get())
        .renewal(timings.renewal.get())
        .drift(timings.lease.get() / DRIFT_PART)
        .check()?;
    settings.credit = credit::Terms {
        lease: timings.credit_lease.get(),
        ..credit::Terms::default()
    };
    settings.retention = timings.retention.get();
    settings.shard = shard(file);
    Ok(settings)
}

fn shard(file: &File) -> shard::Settings {
    let timings = &file.timings;
    let limits = &file.limits;
    let size =
        |bytes: fulmarpier_state::unit::Bytes| usize::try_from(bytes.get()).unwrap_or(usize::MAX);
    let mut journal = journal::Settings::default()
        .group(timings.group_append.get())
        .retention(timings.retention.get());
    journal.pending = size(limits.journal_buffer);
    let mut request =
        request::Settings::default().count(usize::try_from(limits.kept_keys).unwrap_or(usize::MAX));
    request.answer = size(limits.kept_answer);
    shard::Settings {
        worker_lease: timings.worker_lease.get(),
        worker_sync: timings.worker_sync.get(),
        start_by: timings.start_by.get(),
        drift: timings.worker_lease.get() / DRIFT_PART,
        journal,
        request,
        ..shard::Settings::default()
    }
}

/// Returns the address that a URL of the platform names.
pub(super) fn address(setting: &'static str, url: &Url) -> Result<SocketAddr, Error> {
    let text = url.as_str();
    let host = text.strip_prefix(SCHEME).unwrap_or(text);
    let host = host.trim_end_matches('/');
    host.parse().map_err(|source| Error::Address {
        setting,
        found: text.to_owned(),
        source,
    })
}
