//! Sequence numbers of messages that may overtake each other or come twice.

/// How far a message may be behind the latest one.
const LENGTH: u64 = 64;

/// Sequence numbers received lately.
///
/// ```
/// use persimmoncroft::coordination::window::Window;
/// let mut window = Window::default();
/// assert!(window.insert(5));
/// // One that was overtaken is new, once.
/// assert!(window.insert(3));
/// assert!(!window.insert(3));
/// assert!(window.insert(100));
/// assert!(!window.insert(4));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Window {
    latest: u64,
    /// Bit `n` is set if the number `latest - n` was received.
    received: u64,
}

impl Window {
    /// Adds a number, from 1; returns whether it is new. One that is far behind the latest one counts as received.
    pub fn insert(&mut self, number: u64) -> bool {
        if number > self.latest {
            let shift = number - self.latest;
            let received = u32::try_from(shift)
                .ok()
                .and_then(|by| self.received.checked_shl(by));
            self.received = received.unwrap_or(0) | 1;
            self.latest = number;
            return true;
        }
        let behind = self.latest - number;
        if behind >= LENGTH || self.received & (1 << behind) != 0 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}
