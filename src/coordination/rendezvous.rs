//! Rendezvous hashing of keys onto live daemons.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the candidate with the highest hash for a key, or `None` without candidates.
///
/// Every daemon that knows the same candidates chooses the same one, and the removal of a candidate reassigns only its
/// own keys.
///
/// ```
/// use persimmoncroft::coordination::rendezvous::choose;
/// let owner = choose("workspace/lab", ["a:1", "b:1", "c:1"], |name| *name);
/// assert_eq!(owner, choose("workspace/lab", ["c:1", "a:1", "b:1"], |name| *name));
/// ```
pub fn choose<T, K: AsRef<str>>(
    key: &str,
    candidates: impl IntoIterator<Item = T>,
    id: impl Fn(&T) -> K,
) -> Option<T> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    candidates
        .into_iter()
        .max_by_key(|candidate| xxh3_64_with_seed(id(candidate).as_ref().as_bytes(), seed))
}
