//! Edits of sorted lists, whose errors name the field, the value and the bound.

use smol_str::format_smolstr;

use crate::config::InvalidDocument;

/// Inserts an item; fails if its id exists.
pub(super) fn insert_new<T, K: Ord + ToString>(
    list: &mut Vec<T>,
    kind: &str,
    item: T,
    id_of: impl Fn(&T) -> &K,
) -> Result<(), InvalidDocument> {
    match list.binary_search_by(|other| id_of(other).cmp(id_of(&item))) {
        Ok(_) => Err(InvalidDocument::new(kind.into(), id_of(&item).to_string(), "it exists")),
        Err(position) => {
            list.insert(position, item);
            Ok(())
        }
    }
}

/// Finds an item; fails if it does not exist.
pub(super) fn find<'a, T, K: Ord + ToString>(
    list: &'a mut [T],
    kind: &str,
    id: &K,
    id_of: impl Fn(&T) -> &K,
) -> Result<&'a mut T, InvalidDocument> {
    match list.binary_search_by(|item| id_of(item).cmp(id)) {
        Ok(position) => Ok(&mut list[position]),
        Err(_) => Err(not_found(kind, id)),
    }
}

/// Removes an item; fails if it does not exist.
pub(super) fn remove<T, K: Ord + ToString>(
    list: &mut Vec<T>,
    kind: &str,
    id: &K,
    id_of: impl Fn(&T) -> &K,
) -> Result<(), InvalidDocument> {
    match list.binary_search_by(|item| id_of(item).cmp(id)) {
        Ok(position) => {
            list.remove(position);
            Ok(())
        }
        Err(_) => Err(not_found(kind, id)),
    }
}

/// Inserts an item, or replaces the item with the same id.
pub(super) fn insert_or_replace<T, K: Ord>(list: &mut Vec<T>, item: T, id_of: impl Fn(&T) -> &K) {
    match list.binary_search_by(|other| id_of(other).cmp(id_of(&item))) {
        Ok(position) => list[position] = item,
        Err(position) => list.insert(position, item),
    }
}

/// Adds a value to a sorted set, if it is not there yet.
pub(super) fn add_to_set<T: Ord>(set: &mut Vec<T>, value: T) {
    if let Err(position) = set.binary_search(&value) {
        set.insert(position, value);
    }
}

/// Removes a value from a sorted set, if it is there.
pub(super) fn remove_from_set<T: Ord>(set: &mut Vec<T>, value: &T) {
    if let Ok(position) = set.binary_search(value) {
        set.remove(position);
    }
}

/// Returns the error for an object that does not exist.
pub(super) fn not_found(kind: &str, id: &impl ToString) -> InvalidDocument {
    InvalidDocument::new(kind.into(), id.to_string(), format_smolstr!("there is no such {kind}"))
}
