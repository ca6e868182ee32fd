//! The goal of the service: its tenants, the value of its requests, and the costs of its operations.

/// A tenant and its share of the capacity.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// The tenant's share of the service's capacity, from 0 to 1.
    pub share: f64,
    /// The number of requests per second, over all balancers, that are within the tenant's share. The
    /// balancer's decisions do not depend on this.
    pub quota_per_s: f64,
}

/// The quantity by which the value of requests is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ValueBasis {
    /// Each request counts the same.
    #[default]
    Requests,
    /// Each request counts in proportion to its work.
    Work,
}

/// The weights of the components of the service's score. They need not add up to one.
#[derive(Debug, Clone, PartialEq)]
pub struct GoalWeights {
    /// The weight of the result over all requests.
    pub overall: f64,
    /// The weight of the result in the time window with the worst result.
    pub worst_window: f64,
    /// The weight of the result of the class with the worst result.
    pub worst_class: f64,
    /// The weight of the result of the tenant with the worst result for requests within its share.
    pub worst_tenant: f64,
}

impl Default for GoalWeights {
    fn default() -> Self {
        GoalWeights { overall: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// The costs of operations. Each cost is the fraction of the score that is lost if every request causes one
/// such operation.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Costs {
    /// The cost of an attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// The cost of a health check.
    pub health_check: f64,
    /// The cost of opening a connection.
    pub handshake: f64,
    /// The cost of an open connection, per hundred servers. The balancer's decisions do not depend on this.
    pub connection: f64,
    /// The cost of work that a server did without serving a response.
    pub wasted_work: f64,
    /// The cost of a request that ends unserved after its latency objective. The balancer's decisions do not
    /// depend on this.
    pub late_failure: f64,
}
