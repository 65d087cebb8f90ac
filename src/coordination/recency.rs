//! Maps that forget what was not used for longest.

use std::collections::HashMap;
use std::hash::Hash;

/// Drops the least recently used entries of a map once it has more than `max`, down to about half of that.
///
/// ```
/// use std::collections::HashMap;
/// use persimmoncroft::coordination::recency::forget_older;
/// let mut last_uses: HashMap<u32, u32> = (0..10).map(|key| (key, key)).collect();
/// forget_older(&mut last_uses, 10, |last_use| *last_use);
/// assert_eq!(last_uses.len(), 10);
/// last_uses.insert(10, 10);
/// forget_older(&mut last_uses, 10, |last_use| *last_use);
/// assert_eq!(last_uses.len(), 5);
/// assert!(last_uses.contains_key(&10));
/// ```
pub fn forget_older<K: Eq + Hash, V, T: Copy + Ord>(
    map: &mut HashMap<K, V>,
    max: usize,
    last_use: impl Fn(&V) -> T,
) {
    if map.len() <= max {
        return;
    }
    let mut last_uses: Vec<T> = map.values().map(&last_use).collect();
    let (_, median, _) = last_uses.select_nth_unstable(max / 2);
    let median = *median;
    map.retain(|_, value| last_use(value) > median);
}
