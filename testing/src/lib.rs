//! Test support for the workspace: named test cases, deterministic property tests, an HTTP
//! client, child processes and reserved ports.

pub mod client;
pub mod process;

use std::net::{Ipv4Addr, SocketAddr};

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseResult, TestRng, TestRunner};
use tokio::net::TcpSocket;

/// Declares tests, each with the failure that it guards against. The failure becomes the
/// doc comment of the test.
///
/// A test is synchronous unless its name is preceded by `async`, which runs it on a
/// multi-threaded runtime, or by `paused`, which runs it on a single thread with paused
/// time.
///
/// ```
/// zinniaport_testing::test_cases! {
///     sums_are_exact: "a sum that loses the carry" => {
///         assert_eq!(9 + 1, 10);
///     }
/// }
/// ```
#[macro_export]
macro_rules! test_cases {
    () => {};
    (async $name:ident : $guards:literal => $body:block $($rest:tt)*) => {
        #[doc = concat!("Guards against ", $guards, ".")]
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() $body
        $crate::test_cases! { $($rest)* }
    };
    (paused $name:ident : $guards:literal => $body:block $($rest:tt)*) => {
        #[doc = concat!("Guards against ", $guards, ".")]
        #[tokio::test(start_paused = true)]
        async fn $name() $body
        $crate::test_cases! { $($rest)* }
    };
    ($name:ident : $guards:literal => $body:block $($rest:tt)*) => {
        #[doc = concat!("Guards against ", $guards, ".")]
        #[test]
        fn $name() $body
        $crate::test_cases! { $($rest)* }
    };
}

/// Checks `property` on `cases` inputs that `strategy` generates from a fixed seed.
///
/// # Panics
///
/// Panics with a minimal failing input, as found by shrinking, if the property does not
/// hold.
pub fn check_property<S: Strategy>(
    cases: u32,
    strategy: &S,
    property: impl Fn(S::Value) -> TestCaseResult,
) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    if let Err(failure) = runner.run(strategy, property) {
        panic!("property does not hold: {failure}");
    }
}

/// Binds a free TCP port on loopback without listening on it. While the socket exists, no
/// other process is given the port, but a listener that sets `SO_REUSEADDR` can bind it.
///
/// # Panics
///
/// Panics if no port can be bound.
pub fn reserve_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("cannot create a TCP socket");
    socket.set_reuseaddr(true).expect("cannot set SO_REUSEADDR");
    socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("cannot bind a free TCP port");
    socket
}
