//! How many shards a data centre has, and how they are numbered.

use fulmarpier_state::id::{
    DataCentreId,
    RackId,
    ShardId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::rendezvous;

/// How far apart the first shards of two data centres are numbered.
///
/// The numbers of existing shards stay when the count changes, and `s302` reads as the third shard
/// of data centre 3.
const STRIDE: u16 = 100;

/// The shards of each data centre: at least one, at most one hundred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct Count(u16);

/// A count of shards that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a data centre has 1 to {STRIDE} shards, not {found}")]
pub struct CountError {
    /// The count as given.
    pub found: u16,
}

impl Count {
    /// One shard for each data centre.
    pub const ONE: Self = Self(1);

    /// Returns the bare number.
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Returns the shard that `rack` of `data_centre` belongs to.
    ///
    /// Raising the count moves racks only to the new shards.
    pub fn shard(self, data_centre: DataCentreId, rack: RackId) -> ShardId {
        let key = (u64::from(data_centre.0) << 32) | u64::from(rack.0);
        let best = (0..self.0).max_by_key(|index| rendezvous::score(key, u64::from(*index)));
        number(data_centre, best.unwrap_or(0))
    }

    /// Lists all shards of `data_centre`, also those without a rack.
    pub fn shards(self, data_centre: DataCentreId) -> impl Iterator<Item = ShardId> {
        (0..self.0).map(move |index| number(data_centre, index))
    }
}

impl TryFrom<u16> for Count {
    type Error = CountError;

    fn try_from(found: u16) -> Result<Self, CountError> {
        if (1..=STRIDE).contains(&found) {
            Ok(Self(found))
        } else {
            Err(CountError { found })
        }
    }
}

impl From<Count> for u16 {
    fn from(count: Count) -> Self {
        count.0
    }
}

/// Returns the data centre that `shard` lies in.
pub const fn data_centre_of(shard: ShardId) -> DataCentreId {
    DataCentreId(shard.0 / STRIDE)
}

/// Returns the number of the shard at `index` of `data_centre`.
///
/// Data centres past 654 would overflow the number; [`super::Map::update`] refuses them.
fn number(data_centre: DataCentreId, index: u16) -> ShardId {
    ShardId(data_centre.0.saturating_mul(STRIDE).saturating_add(index))
}

/// Returns whether the shards of `data_centre` can be numbered.
pub(super) fn numbered(data_centre: DataCentreId) -> bool {
    data_centre.0 < u16::MAX / STRIDE
}
