//! Starts the services of a daemon, in the order of their dependencies.

use std::convert;

use tokio::sync::watch;
use trefoildyke_decide::members as decide;
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;
use trefoildyke_wire::{peer, platform};

use crate::{
    clock, config, coordinate,
    daemon::{drain, progress, routes},
    hosts, intents, members, metrics, operators, orders, peers, schedule, settings, timeline,
};

/// The inputs for starting the services.
pub(super) struct ServiceStarter<'a> {
    pub(super) kernel: &'a kernel::Kernel,
    pub(super) settings: &'a settings::Settings,
    pub(super) own: id::Incarnation,
    pub(super) clock: clock::Clock,
    pub(super) identity: peer::Identity,
    pub(super) peer_address: std::net::SocketAddr,
}

/// The service handles that the servers use, and the state for stopping.
pub(super) struct Services {
    pub(super) config: config::Handle,
    pub(super) members: members::Handle,
    pub(super) coordinate: coordinate::Handle,
    pub(super) orders: orders::Handle,
    pub(super) timeline: timeline::Handle,
    pub(super) metrics: metrics::Handle,
    pub(super) progress: watch::Receiver<operators::Progress>,
    pub(super) gate: kernel::Gate,
    pub(super) methods: peer::Methods,
}

impl ServiceStarter<'_> {
    pub(super) fn start(&self) -> anyhow::Result<Services> {
        let registry = self.kernel.registry();
        let timeline = timeline::Handle::new(
            self.settings.host.clone(),
            self.own,
            self.settings.events,
            self.identity.clock.clone(),
        );
        let metrics = metrics::Handle::new()?;
        let kv = platform::KvClient::new(self.settings.platform.kv_settings());
        let hosts = self.start_hosts();
        let (config, keeper) = config::new(self.settings.config.clone(), kv.clone());
        self.spawn("config", keeper.run());
        let (versions, versions_receiver) = watch::channel(decide::Versions::default());
        let (members, peers) = self.start_members(versions_receiver, &hosts);
        let routes = routes::Routes { own: self.own, members: members.clone(), peers };
        self.spawn("config", config.clone().follow(routes.config()));
        let intents = self.start_intents(&routes, kv.clone())?;
        intents.export(&metrics.meter());
        let orders = self.start_orders(&config, &members, kv.clone());
        let schedule = self.start_schedule(&routes, &config, &hosts);
        let gate = kernel::Gate::default();
        let coordinate = coordinate::Handle::new(coordinate::Dependencies {
            settings: self.settings.coordinate,
            clock: self.clock,
            peer_calls: routes.coordinate(),
            config: config.clone(),
            hosts: hosts.clone(),
            intents: intents.clone(),
            schedule: schedule.clone(),
            isolation: self.start_isolation(&members, kv),
            gate: gate.clone(),
            scope: self.kernel.traffic().clone(),
            timeline: timeline.clone(),
            metrics: metrics.clone(),
        });
        self.spawn_result("coordinate", coordinate.clone().sweep());
        registry.publish("timeline", timeline.clone())?;
        registry.publish("metrics", metrics.clone())?;
        registry.publish("hosts", hosts)?;
        registry.publish("config", config.clone())?;
        registry.publish("members", members.clone())?;
        registry.publish("peers", routes.peers.clone())?;
        registry.publish("intents", intents.clone())?;
        registry.publish("orders", orders.clone())?;
        registry.publish("schedule", schedule.clone())?;
        registry.publish("coordinate", coordinate.clone())?;
        let mut methods = peer::Methods::default();
        members.serve_peers(&routes.peers, &mut methods);
        intents.serve_peers(&mut methods);
        schedule.serve_peers(&mut methods);
        coordinate.serve_peers(&mut methods);
        serve_config(&config, &mut methods);
        let progress = self.start_progress(&members);
        let drain = drain::DrainPoller::new(self.own, config.clone(), &members);
        let local_progress = progress::LocalProgress {
            host: self.settings.host.clone(),
            config: config.clone(),
            coordinate: coordinate.clone(),
            gate: gate.clone(),
            drain: drain.clone(),
        };
        self.spawn("drained", drain.run());
        self.spawn("progress", local_progress.publish(versions));
        Ok(Services {
            config,
            members,
            coordinate,
            orders,
            timeline,
            metrics,
            progress,
            gate,
            methods,
        })
    }

    fn start_hosts(&self) -> hosts::Handle {
        let platform = &self.settings.platform;
        let client = platform::HostsClient::new(platform.hosts, platform.call());
        let (hosts, poller) = hosts::new(self.settings.hosts, client);
        self.spawn("hosts", poller.run());
        hosts
    }

    fn start_members(
        &self,
        versions: watch::Receiver<decide::Versions>,
        hosts: &hosts::Handle,
    ) -> (members::Handle, peers::Handle) {
        let location = decide::Location {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            peer: self.settings.peers.advertise.unwrap_or(self.peer_address),
        };
        let (members, runner) =
            members::new(self.own, location, decide::Params::default(), self.clock);
        let found = members.clone();
        let (peers, failed_peers) = peers::new(
            self.identity.clone(),
            self.settings.peers.limits,
            peers::Settings::default(),
            self.kernel.traffic().clone(),
            move |incarnation| found.address(incarnation),
        );
        let sources = members::Sources {
            peers: peers.clone(),
            failed_peers,
            versions,
            hosts: Some(hosts.clone()),
            seeds: self.settings.peers.seeds.clone(),
        };
        self.spawn("members", runner.run(sources));
        (members, peers)
    }

    fn start_intents(
        &self,
        routes: &routes::Routes,
        kv: platform::KvClient,
    ) -> anyhow::Result<intents::Handle> {
        let (intents, service) = intents::create(self.settings.intents, routes.intents(), kv)?;
        let token = self.kernel.control().token().clone();
        self.kernel.control().spawn("intents", async move {
            service.run(token).await;
            Ok::<(), convert::Infallible>(())
        });
        Ok(intents)
    }

    fn start_orders(
        &self,
        config: &config::Handle,
        members: &members::Handle,
        kv: platform::KvClient,
    ) -> orders::Handle {
        let sources = orders::Sources { config: config.subscribe(), view: members.subscribe() };
        let (orders, service) = orders::new(self.settings.orders, kv, self.own, sources);
        self.spawn("orders", service.run());
        orders
    }

    fn start_schedule(
        &self,
        routes: &routes::Routes,
        config: &config::Handle,
        hosts: &hosts::Handle,
    ) -> schedule::Handle {
        let sources = schedule::Sources {
            clock: self.clock,
            scheduler_calls: routes.schedule(),
            config: config.subscribe(),
            hosts: hosts.clone(),
            endpoints: self.settings.endpoints,
            scope: self.kernel.control().clone(),
        };
        let (schedule, service) = schedule::create(self.settings.schedule.clone(), sources);
        self.spawn("schedule", service.run());
        schedule
    }

    fn start_isolation(
        &self,
        members: &members::Handle,
        kv: platform::KvClient,
    ) -> coordinate::Isolation {
        let isolation = coordinate::Isolation::default();
        let monitor = coordinate::IsolationMonitor {
            isolation: isolation.clone(),
            own: self.own,
            view: members.subscribe(),
            kv,
            timeout: self.settings.coordinate.isolation(),
        };
        self.spawn("isolation", monitor.run());
        isolation
    }

    fn start_progress(&self, members: &members::Handle) -> watch::Receiver<operators::Progress> {
        let (sender, progress) = watch::channel(operators::Progress::default());
        self.spawn("progress", progress::publish_all(members.clone(), sender));
        progress
    }

    /// Spawns a future on the control thread; the future is cancelled when the daemon ends.
    fn spawn(&self, name: &str, service: impl Future<Output = ()> + Send + 'static) {
        self.spawn_result(name, async move {
            service.await;
            Ok(())
        });
    }

    fn spawn_result(
        &self,
        name: &str,
        service: impl Future<Output = Result<(), convert::Infallible>> + Send + 'static,
    ) {
        let token = self.kernel.control().token().clone();
        self.kernel.control().spawn(name, async move {
            tokio::select! {
                () = token.cancelled() => Ok(()),
                result = service => result,
            }
        });
    }
}

fn serve_config(config: &config::Handle, methods: &mut peer::Methods) {
    let handle = config.clone();
    methods.changes = peer::Methods::method(move |_, request| {
        let handle = handle.clone();
        async move { handle.answer(request).await }
    });
}
