//! A token bucket that limits extra work, such as retries, in proportion to the number of requests.

/// A token bucket that is refilled by requests and not with time.
pub struct TokenBucket {
    /// The tokens in the bucket.
    balance: f64,
}

impl TokenBucket {
    /// Creates a token bucket with this balance.
    pub fn new(balance: f64) -> Self {
        TokenBucket { balance }
    }

    /// Returns the amount that can be spent.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Adds `amount` to the balance, which is then limited to `max`.
    pub fn refill(&mut self, amount: f64, max: f64) {
        self.balance = (self.balance + amount).min(max);
    }

    /// Subtracts `amount` from the balance, which becomes negative if it is too small.
    pub fn spend(&mut self, amount: f64) {
        self.balance -= amount;
    }
}

#[cfg(test)]
mod tests;
