//! Lists of structs.

use capnp::{
    struct_list,
    traits::OwnedStruct, //
};

use super::{
    Error,
    bound, //
};

/// Reads a list of at most [`bound::ENTRIES`] structs.
pub(super) fn read<'a, S: OwnedStruct, T>(
    field: &'static str,
    list: struct_list::Reader<'a, S>,
    read: impl Fn(S::Reader<'a>) -> Result<T, Error>,
) -> Result<Vec<T>, Error> {
    bound::list(field, list.len(), bound::ENTRIES)?;
    list.iter().map(read).collect()
}

/// Writes the items into a list that was made with [`bound::count`] of them.
pub(super) fn write<S: OwnedStruct, T>(
    mut list: struct_list::Builder<'_, S>,
    items: &[T],
    write: impl Fn(&T, S::Builder<'_>),
) {
    for (index, item) in (0..list.len()).zip(items) {
        write(item, list.reborrow().get(index));
    }
}
