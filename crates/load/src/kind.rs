//! The kinds of work that a run offers.

use std::fmt;

use fulmarpier_protocol::settings::load::Mix;
use serde::Serialize;

/// One kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An ordinary request to a service.
    Ordinary,
    /// A request that must run at most once, under an idempotency key.
    Once,
    /// A job of tasks that run to their end, each on its own.
    Batch,
    /// A job of tasks that must all run at once.
    Gang,
    /// A job whose tasks run until they are cancelled.
    Service,
}

impl Kind {
    /// All kinds, in the order of the reports.
    pub const ALL: [Self; 5] = [
        Self::Ordinary,
        Self::Once,
        Self::Batch,
        Self::Gang,
        Self::Service,
    ];

    /// Returns the kind's name, as in the settings.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Once => "once",
            Self::Batch => "batch",
            Self::Gang => "gang",
            Self::Service => "service",
        }
    }

    /// Tells whether the work is a job rather than a request.
    pub const fn is_job(self) -> bool {
        matches!(self, Self::Batch | Self::Gang | Self::Service)
    }

    /// Returns the kind's weight in a mix.
    pub const fn weight(self, mix: &Mix) -> f64 {
        match self {
            Self::Ordinary => mix.ordinary,
            Self::Once => mix.once,
            Self::Batch => mix.batch,
            Self::Gang => mix.gang,
            Self::Service => mix.service,
        }
    }

    /// Returns the kind at `point`, from zero to one, of the weights laid end to end.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_load::Kind;
    /// use fulmarpier_protocol::settings::load::Mix;
    ///
    /// let mix = Mix { ordinary: 9.0, once: 0.0, batch: 1.0, gang: 0.0, service: 0.0 };
    /// assert_eq!(Kind::pick(&mix, 0.89), Kind::Ordinary);
    /// assert_eq!(Kind::pick(&mix, 0.91), Kind::Batch);
    /// ```
    pub fn pick(mix: &Mix, point: f64) -> Self {
        let mut rest = point * mix.total();
        for kind in Self::ALL {
            rest -= kind.weight(mix);
            if rest < 0.0 {
                return kind;
            }
        }
        Self::Ordinary
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.word())
    }
}
