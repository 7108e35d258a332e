//! The process's own log: one line of key=value pairs for each event.
//!
//! Lines are written by a thread of their own. When it can't keep up, lines are dropped and counted
//! rather than holding the caller up.

use std::{
    fmt,
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

pub use fulmarpier_protocol::settings::value::Level;
use slog::{
    Drain,
    FnValue,
    LevelFilter,
    Logger,
    Never,
    OwnedKVList,
    Record,
    o, //
};
use slog_async::{
    AsyncCore,
    AsyncGuard, //
};
use slog_logfmt::Logfmt;

/// How many lines may wait to be written.
const QUEUE: usize = 4096;

/// Returns the severity that goes with a level of the settings.
const fn severity(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
        Level::Trace => slog::Level::Trace,
    }
}

/// An open log; dropping it writes out what waits.
pub struct Log {
    logger: Logger,
    dropped: Arc<AtomicU64>,
    _guard: AsyncGuard,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log")
            .field("dropped", &self.dropped())
            .finish_non_exhaustive()
    }
}

impl Log {
    /// Opens a log on the standard error stream.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_transport::log::{Level, Log};
    ///
    /// let log = Log::open("gate", Level::Info);
    /// slog::info!(log.logger(), "started"; "port" => 8080);
    /// ```
    ///
    /// See also [`Self::to`].
    pub fn open(program: &'static str, level: Level) -> Self {
        Self::to(io::stderr(), program, level)
    }

    /// Opens a log on any writer, for tests.
    ///
    /// See also [`Self::open`].
    pub fn to(writer: impl Write + Send + 'static, program: &'static str, level: Level) -> Self {
        let format = Logfmt::new(writer)
            .no_prefix()
            .print_level(true)
            .print_msg(true)
            .build()
            .ignore_res();
        let (core, guard) = AsyncCore::custom(format)
            .chan_size(QUEUE)
            .build_with_guard();
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Counted {
            core,
            dropped: dropped.clone(),
        };
        let filtered = LevelFilter::new(counted, severity(level)).ignore_res();
        let fields = o!("program" => program, "time" => FnValue(|_| wall_clock()));
        Self {
            logger: Logger::root(filtered, fields),
            dropped,
            _guard: guard,
        }
    }

    /// Returns the logger to write events with.
    pub const fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns how many lines were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Hands records to the writing thread without blocking and counts those that don't fit.
struct Counted {
    core: AsyncCore,
    dropped: Arc<AtomicU64>,
}

impl Drain for Counted {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.core.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

fn wall_clock() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}.{:06}", now.as_secs(), now.subsec_micros())
}
