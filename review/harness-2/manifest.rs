//! Manifests.

/// A route of a manifest.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub target_latency_ms: u32,
    pub service: &'static str,
}

/// Host of all routes.
pub const HOST: &str = "portal.example";

/// Returns a manifest. A tenant is its name, its key, its rate per second and its burst.
pub fn manifest(routes: &[Route], tenants: &[(&str, &str, u32, u32)]) -> String {
    let rows = routes.iter().map(|route| {
        let Route { name, prefix, kind, timeout_ms, target_latency_ms, service } = route;
        format!(
            "[\"{name}\",\"{HOST}\",\"{prefix}\",\"{kind}\",\"{timeout_ms}ms\",\"{target_latency_ms}ms\",1,\
             \"{service}\",2,false,null]"
        )
    });
    let rows: Vec<_> = rows.collect();
    let mut services: Vec<_> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services =
        services.iter().map(|name| format!("[\"{name}\",\"/health\",1060,\"h1\",false]"));
    let services: Vec<_> = services.collect();
    let tenants = tenants
        .iter()
        .map(|(name, key, rate, burst)| format!("[\"{name}\",[\"{key}\"],1,{rate},{burst}]"));
    let tenants: Vec<_> = tenants.collect();
    let tenants = match tenants.is_empty() {
        true => String::new(),
        false => format!(
            ",\"Tenants\":{{\"Columns\":[\"Name\",\"ApiKeys\",\"Priority\",\"RatePerS\",\"Burst\"],\
             \"Rows\":[{}]}}",
            tenants.join(",")
        ),
    };
    format!(
        "{{\"Version\":7,\"Routes\":{{\"Columns\":[\"Name\",\"Host\",\"PathPrefix\",\"Kind\",\"Timeout\",\
         \"TargetLatency\",\"Priority\",\"Service\",\"MaxAttempts\",\"Public\",\"Split\"],\"Rows\":[{}]}},\
         \"Services\":{{\"Columns\":[\"Name\",\"HealthPath\",\"MaxConnections\",\"Protocol\",\"Tls\"],\
         \"Rows\":[{}]}},\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\
         \"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}{tenants}}}",
        rows.join(","),
        services.join(",")
    )
}
