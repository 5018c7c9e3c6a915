//! Order of admission while versions of the configuration add, move and change routes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use zinniaport::gate::{AdmissionGate, SlotGuard};
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::{ClockSource, ManualClock};
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
};
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
    RegisteredTarget, ServiceDefinition,
};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::intent::{KindIntent, TargetInstance};
use zinniaport_core::keys::CallerKey;
use zinniaport_core::policy::EntryView;
use zinniaport_core::routes::{RouteIntent, RouteRule, WeightedService};
use zinniaport_testing::test_cases;

const HOST: &str = "jobs.example";

const SERVICE: &str = "status";

/// A route with its rank, deadline and soft deadline in milliseconds.
#[derive(Clone, Copy)]
struct TimedRoute {
    name: &'static str,
    rank: u8,
    deadline_ms: u64,
    target_latency_ms: u64,
}

const POLL: TimedRoute =
    TimedRoute { name: "poll", rank: 2, deadline_ms: 15_000, target_latency_ms: 2_000 };

const INVOICE: TimedRoute =
    TimedRoute { name: "invoice", rank: 0, deadline_ms: 3_000, target_latency_ms: 400 };

const REPORT: TimedRoute =
    TimedRoute { name: "report", rank: 1, deadline_ms: 5_000, target_latency_ms: 800 };

const ADDED: TimedRoute =
    TimedRoute { name: "added", rank: 2, deadline_ms: 1_000, target_latency_ms: 900 };

impl TimedRoute {
    fn intent(self) -> RouteIntent {
        let kind = KindIntent {
            name: self.name.to_owned(),
            methods: Vec::new(),
            path_prefix: String::new(),
            rank: self.rank,
            idempotent: true,
            max_runs: 1,
            deadline_ms: self.deadline_ms,
            require_key: false,
            objective_percent: 99.0,
            target_latency_ms: Some(self.target_latency_ms),
            max_dispatches: None,
        };
        let part = WeightedService { service: SERVICE.to_owned(), weight: 1 };
        let path_prefix = format!("/{}/", self.name);
        RouteIntent {
            host: HOST.to_owned(),
            path_prefix,
            kind,
            parts: vec![part],
            is_public: false,
        }
    }
}

/// The gate of a coordinated service with a single usable slot, and the directory that it follows.
struct RoutedGate {
    clock: Arc<ManualClock>,
    directory: DirectoryController,
    fleet: FleetSnapshot,
    gate: Option<Arc<AdmissionGate>>,
    version: u64,
}

impl RoutedGate {
    fn new(routes: &[TimedRoute]) -> Self {
        let clock = Arc::new(ManualClock::default());
        clock.advance(Duration::from_secs(1));
        let directory = DirectoryController::new(DirectorySettings::default(), 1);
        let fleet = FleetSnapshot::default();
        let mut gate = Self { clock, directory, fleet, gate: None, version: 0 };
        let target = RegisteredTarget {
            instance: TargetInstance { id: "i-1".into(), started_ms: 1 },
            service: SERVICE.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            data_centre: "a".to_owned(),
            // Until it is known that full targets are not slower, one of them stays free.
            slots: 2,
            leaving: false,
            warm_up_left: Duration::ZERO,
            sequence: 0,
        };
        gate.list(DirectoryPart::Targets, "i-1", DirectoryItem::Target(target));
        gate.configure(routes);
        gate
    }

    fn list(&mut self, part: DirectoryPart, name: &str, item: DirectoryItem) {
        self.version += 1;
        let (revision, item) = (self.version, Some(item));
        let changes = vec![DirectoryChange { name: name.to_owned(), revision, item }];
        let message = DirectoryMessage::Listed(part, DirectoryBatch { era: 0, revision, changes });
        for effect in self.directory.handle(message, self.clock.now()) {
            if let DirectoryEffect::Publish(fleet) = effect {
                self.fleet = fleet.as_ref().clone();
                self.fleet.set_view(EntryView { is_coordinated: true, ..EntryView::default() });
            }
        }
    }

    /// Brings a version with these routes into force.
    fn configure(&mut self, routes: &[TimedRoute]) {
        let service =
            ServiceDefinition { name: SERVICE.to_owned(), ..ServiceDefinition::default() };
        let configuration = OperatorConfiguration {
            version: self.version + 1,
            routes: routes.iter().map(|route| route.intent()).collect(),
            services: vec![service],
            limits: None,
            tenants: None,
            unused_items: Vec::new(),
        };
        let item = DirectoryItem::Configuration(configuration);
        self.list(DirectoryPart::Configuration, "main", item);
    }

    /// Returns a request that arrives now and whose caller waits for `left`.
    fn request(&self, route: TimedRoute, left: Duration) -> CallFacts {
        let table = self.fleet.routes.as_ref().unwrap();
        let found = table.find(HOST, &format!("/{}/1", route.name));
        let destination = found.and_then(RouteRule::pick).unwrap();
        let now = self.clock.now();
        let limit = left.min(Duration::from_millis(route.deadline_ms));
        let soft_limit = limit.min(Duration::from_millis(route.target_latency_ms));
        CallFacts {
            service: destination.service,
            caller: CallerKey::default(),
            kind: destination.kind,
            rank: route.rank,
            arrived: now,
            deadline: now + limit,
            soft_deadline: Some(now + soft_limit),
            ..CallFacts::default()
        }
    }

    /// Returns a request whose caller waits for as long as the route allows.
    fn patient(&self, route: TimedRoute) -> CallFacts {
        self.request(route, Duration::MAX)
    }

    fn gate(&mut self) -> Arc<AdmissionGate> {
        let counters = &self.fleet.find(SERVICE).unwrap().1.counters;
        let create =
            || Arc::new(AdmissionGate::new(self.clock.clone(), counters.clone(), Arc::default()));
        self.gate.get_or_insert_with(create).clone()
    }

    /// Answers requests of a route after this time, until that is what they are expected to take.
    fn learn_work(&self, route: TimedRoute, latency: Duration) {
        let work = &self.fleet.find(SERVICE).unwrap().1.counters.kind_work;
        (0..100).for_each(|_| work.record(self.patient(route).kind, latency));
    }

    /// Lets the target report that runs take this share of the usual time.
    fn slow_target(&self, percent: u32) {
        let target = self.fleet.targets.values().next().unwrap();
        target.counters.record_slowdown(percent, Duration::ZERO, self.clock.now());
    }

    /// Admits one request after the other, each of which finds the slot free.
    async fn serve(&mut self, requests: &[CallFacts]) {
        for facts in requests {
            drop(self.take_slot(*facts).await);
        }
    }

    /// Admits a request that finds the slot free, and returns the slot.
    async fn take_slot(&mut self, facts: CallFacts) -> SlotGuard {
        let gate = self.gate();
        let service = self.fleet.find(SERVICE).unwrap().1;
        gate.admit(&self.fleet, service, &facts).await.unwrap().1
    }

    /// Lets requests wait in this order until the slot is free, and returns the one that gets it,
    /// with the rule by which it does.
    async fn first_admitted(
        &mut self,
        slot: SlotGuard,
        requests: &[CallFacts],
    ) -> (usize, ReasonCode) {
        let gate = self.gate();
        let service = self.fleet.find(SERVICE).unwrap().1;
        let waiting =
            requests.iter().map(|facts| Box::pin(gate.admit(&self.fleet, service, facts)));
        let mut waiting: Vec<_> = waiting.collect();
        for request in &mut waiting {
            assert!(request.as_mut().now_or_never().is_none(), "the slot is taken");
        }
        drop(slot);
        let admitted = waiting.iter_mut().enumerate().find_map(|(index, request)| {
            request.as_mut().now_or_never().map(|result| (index, result.unwrap().0.rule))
        });
        admitted.expect("a request is admitted")
    }
}

test_cases! {
    async added_routes_wait_behind_all_others: "a route added in the middle of a service's routes whose requests count as sent again, since another kind with more time was at its position" => {
        let mut gate = RoutedGate::new(&[INVOICE, POLL]);
        gate.serve(&[gate.patient(INVOICE), gate.patient(POLL)]).await;
        gate.configure(&[INVOICE, ADDED, POLL]);
        let requests = [gate.patient(POLL), gate.patient(ADDED)];
        let slot = gate.take_slot(requests[0]).await;
        assert_eq!(gate.first_admitted(slot, &requests).await, (1, ReasonCode::DeadlineFirst));
    }

    async moved_routes_wait_behind_all_others: "a route moved to another service whose requests count as sent again, since another kind with more time was at its position" => {
        let mut gate = RoutedGate::new(&[POLL, REPORT]);
        gate.serve(&[gate.patient(POLL), gate.patient(REPORT)]).await;
        gate.configure(&[INVOICE, POLL, REPORT]);
        let requests = [gate.patient(POLL), gate.patient(INVOICE)];
        let slot = gate.take_slot(requests[0]).await;
        assert_eq!(gate.first_admitted(slot, &requests).await, (1, ReasonCode::RankFirst));
    }

    async shortened_routes_wait_behind_all_others: "a route with a shorter time limit than before whose requests count as sent again" => {
        let mut gate = RoutedGate::new(&[INVOICE, POLL]);
        gate.serve(&[gate.patient(INVOICE), gate.patient(POLL)]).await;
        let shortened = TimedRoute { deadline_ms: 1_500, target_latency_ms: 200, ..INVOICE };
        gate.configure(&[shortened, POLL]);
        let requests = [gate.patient(POLL), gate.patient(shortened)];
        let slot = gate.take_slot(requests[0]).await;
        assert_eq!(gate.first_admitted(slot, &requests).await, (1, ReasonCode::RankFirst));
    }

    async short_requests_wait_for_unslowed_targets: "a short request that waits until its deadline passes, while the slots of slowed targets go to requests behind it that are late anyway" => {
        let mut gate = RoutedGate::new(&[POLL, REPORT, ADDED]);
        gate.learn_work(REPORT, Duration::from_millis(900));
        gate.learn_work(ADDED, Duration::from_millis(4));
        let requests = [gate.patient(REPORT), gate.patient(ADDED)];
        let slot = gate.take_slot(requests[1]).await;
        gate.slow_target(600);
        assert_eq!(gate.first_admitted(slot, &requests).await.0, 1);
    }

    async long_requests_wait_for_unslowed_targets: "a request that takes the slot of a slowed target although it would be late there and another one may become free in time" => {
        let mut gate = RoutedGate::new(&[POLL, REPORT, ADDED]);
        gate.learn_work(REPORT, Duration::from_millis(900));
        gate.learn_work(ADDED, Duration::from_millis(200));
        let requests = [gate.patient(REPORT), gate.patient(ADDED)];
        let slot = gate.take_slot(requests[1]).await;
        gate.slow_target(600);
        assert_eq!(gate.first_admitted(slot, &requests).await.0, 0);
    }
}
