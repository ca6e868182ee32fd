//! Budgets that requests pay into and that extra work is paid from.

/// A token bucket that is filled by requests and not by time.
pub struct Budget {
    balance: f64,
}

impl Budget {
    /// A budget with something in it.
    pub fn new(balance: f64) -> Self {
        Budget { balance }
    }

    /// What it can pay for.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Pays `amount` in; what would be over `max` is lost.
    pub fn earn(&mut self, amount: f64, max: f64) {
        self.balance = (self.balance + amount).min(max);
    }

    /// Takes `amount` out.
    pub fn spend(&mut self, amount: f64) {
        self.balance -= amount;
    }
}

#[cfg(test)]
mod tests;
