//! A token bucket that requests fill and extra work empties.

/// A token bucket that is filled by requests and not by time.
pub struct Budget {
    balance: f64,
}

impl Budget {
    /// A budget with this balance.
    pub fn new(balance: f64) -> Self {
        Budget { balance }
    }

    /// What it can pay for.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Pays `amount` in; a balance over `max` is cut to it.
    pub fn earn(&mut self, amount: f64, max: f64) {
        self.balance = (self.balance + amount).min(max);
    }

    /// Pays `amount` out.
    pub fn spend(&mut self, amount: f64) {
        self.balance -= amount;
    }
}

#[cfg(test)]
mod tests;
