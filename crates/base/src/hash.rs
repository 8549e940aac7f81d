//! Hash functions that give the same result on every host and in every version.

use xxhash_rust::xxh3::Xxh3Default;

/// Hashes byte strings in order. Each is prefixed with its length, so `["ab", "c"]` and
/// `["a", "bc"]` differ.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut state = Xxh3Default::new();
    for part in parts {
        state.update(&(part.len() as u64).to_le_bytes());
        state.update(part);
    }
    state.digest()
}

/// Rendezvous hashing: the item with the highest score for `key`.
///
/// Hosts with the same items choose the same one, and when an item is removed, only the keys that
/// were assigned to it move.
pub fn rendezvous<'a, T>(
    key: &[u8],
    items: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    items.into_iter().max_by_key(|item| hash_parts(&[key, name(item).as_bytes()]))
}
