//! A retry budget: retries may be a fixed share of requests, so that they never multiply an overload.

/// Tokens, in tenths of a retry, that one request adds.
const DEPOSIT: u64 = 2;

/// Tokens that one retry takes.
const PRICE: u64 = 10;

/// Tokens that the budget holds at most.
const CAPACITY: u64 = 200;

/// The budget of one daemon: one retry for each five requests, and by default at most twenty saved up.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    level: u64,
    capacity: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            level: CAPACITY,
            capacity: CAPACITY,
        }
    }
}

impl Budget {
    /// Opens an empty budget: a daemon that starts anew brings no retries twice.
    pub fn empty() -> Self {
        Self {
            level: 0,
            capacity: CAPACITY,
        }
    }

    /// Lets at most this many retries be saved up.
    pub fn limit(&mut self, retries: u64) {
        self.capacity = retries * PRICE;
        self.level = self.level.min(self.capacity);
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.level = (self.level + DEPOSIT).min(self.capacity);
    }

    /// Takes a retry, if the budget allows it.
    ///
    /// ```
    /// use persimmoncroft::coordination::retry::Budget;
    /// let mut budget = Budget::default();
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 20);
    /// ```
    pub fn take(&mut self) -> bool {
        let enough = self.level >= PRICE;
        if enough {
            self.level -= PRICE;
        }
        enough
    }
}
