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

/// Number of candidates that come before one for a key, or `None` if it is not among them.
///
/// ```
/// use persimmoncroft::coordination::rendezvous::{choose, rank};
/// let daemons = ["a:1", "b:1", "c:1"];
/// let first = choose("engine-1", daemons, |name| *name).unwrap();
/// assert_eq!(rank("engine-1", first, &daemons), Some(0));
/// ```
pub fn rank(key: &str, candidate: &str, candidates: &[&str]) -> Option<usize> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let hash = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
    let own = hash(candidate);
    let is_listed = candidates.contains(&candidate);
    is_listed.then(|| candidates.iter().filter(|it| hash(it) > own).count())
}
