//! What the service values and what things cost it.

/// A tenant with a share of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// Its share of the service, as a fraction.
    pub share: f64,
    /// Requests a second, over all balancers, that lie within its share. Not used by decisions.
    pub quota_per_s: f64,
}

/// What the value of a request is counted by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ValueBasis {
    /// Each request counts once.
    #[default]
    Requests,
    /// Each request counts by its work.
    Work,
}

/// How the service weighs its results; the parts need not add up to one.
#[derive(Debug, Clone, PartialEq)]
pub struct GoalWeights {
    /// All requests together.
    pub overall: f64,
    /// The worst stretch of time.
    pub worst_window: f64,
    /// The class that is served worst.
    pub worst_class: f64,
    /// The tenant that is served worst within its share.
    pub worst_tenant: f64,
}

impl Default for GoalWeights {
    fn default() -> Self {
        GoalWeights { overall: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// What things cost: the share of the result that is lost to one of each per request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Costs {
    /// An attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// A health check.
    pub health_check: f64,
    /// A new connection.
    pub handshake: f64,
    /// An open connection, per hundred servers. Not used by decisions.
    pub connection: f64,
    /// Work of a server that served no answer.
    pub wasted_work: f64,
    /// A request that ends unserved after its objective. Not used by decisions.
    pub late_failure: f64,
}
