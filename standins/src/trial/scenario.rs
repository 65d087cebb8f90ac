//! Named scenarios, each a modification of the trial plan.

use std::time::Duration;

use super::plan::{Fault, Plan};

/// A named modification of a plan.
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// Applies the scenario to a plan.
    pub apply: fn(&mut Plan),
}

/// All scenarios.
pub const ALL: &[Scenario] = &[
    Scenario {
        name: "steady",
        about: "load below every rate, no fault",
        apply: |_| {},
    },
    Scenario {
        name: "demand-shift",
        about: "the demand for models turns over",
        apply: demand_shift,
    },
    Scenario {
        name: "greedy-workspace",
        about: "one workspace asks for five times its rate",
        apply: greedy,
    },
    Scenario {
        name: "cold-restart",
        about: "engines turn cold and restart",
        apply: cold_restart,
    },
    Scenario {
        name: "zone-out",
        about: "a zone is taken out and brought back",
        apply: zone_out,
    },
    Scenario {
        name: "zone-cut",
        about: "a zone is cut off from the platform and the others",
        apply: zone_cut,
    },
    Scenario {
        name: "store-outage",
        about: "the store hangs, then refuses",
        apply: store_outage,
    },
    Scenario {
        name: "store-slow-lost-answers",
        about: "the store is slow and loses answers",
        apply: store_slow,
    },
    Scenario {
        name: "daemon-kill",
        about: "daemons are killed and come back",
        apply: daemon_kill,
    },
    Scenario {
        name: "daemon-pause",
        about: "a daemon freezes beyond its lease",
        apply: daemon_pause,
    },
    Scenario {
        name: "rolling-restart",
        about: "every daemon stops and starts; an engine leaves",
        apply: rolling,
    },
    Scenario {
        name: "lost-late-orders",
        about: "orders lost, late, doubled; demand turns over",
        apply: orders,
    },
    Scenario {
        name: "broken-streams",
        about: "engines break streams midway",
        apply: streams,
    },
    Scenario {
        name: "key-withdrawal",
        about: "a key is withdrawn during traffic",
        apply: withdrawal,
    },
    Scenario {
        name: "operator-race",
        about: "operators race to change one record",
        apply: race,
    },
    Scenario {
        name: "charges",
        about: "charges with lost and late answers, retried elsewhere",
        apply: charges,
    },
    Scenario {
        name: "overnight-jobs",
        about: "deferrable jobs while a daemon dies",
        apply: jobs,
    },
];

/// Returns the scenario with a name.
pub fn find(name: &str) -> Option<&'static Scenario> {
    ALL.iter().find(|scenario| scenario.name == name)
}

fn demand_shift(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(20);
    plan.shift = Some(6.0);
}

fn greedy(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(12);
    plan.greedy = Some((1, 3.0, 9.0, 5.0));
}

fn cold_restart(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(14);
    plan.faults.push((3000, Fault::EngineCold(0)));
    plan.faults.push((5000, Fault::EngineRestart(1)));
}

fn zone_out(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(18);
    plan.faults.push((3000, Fault::ZoneOut(1, true)));
    plan.faults.push((11_000, Fault::ZoneOut(1, false)));
    plan.window = Some((3000, 15_000));
}

fn zone_cut(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(18);
    plan.faults.push((3000, Fault::Cut(2, true)));
    plan.faults.push((12_000, Fault::Cut(2, false)));
    plan.window = Some((3000, 15_000));
}

fn store_outage(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(18);
    plan.faults.push((3000, Fault::StoreHangs));
    plan.faults.push((8000, Fault::StoreRefuses));
    plan.faults.push((13_000, Fault::StoreWell));
}

fn store_slow(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(16);
    plan.charges = true;
    plan.faults.push((2000, Fault::StoreSlow));
    plan.faults.push((12_000, Fault::StoreWell));
}

fn daemon_kill(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(14);
    plan.faults.push((3000, Fault::Kill(0)));
    plan.faults.push((4500, Fault::Kill(4)));
    plan.faults.push((7000, Fault::Start(0)));
    plan.faults.push((9000, Fault::Start(4)));
}

fn daemon_pause(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(16);
    plan.faults
        .push((3000, Fault::Pause(1, Duration::from_secs(6))));
}

fn rolling(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(20);
    for daemon in 0..7 {
        plan.faults
            .push((2000 + 2200 * daemon as u64, Fault::Roll(daemon)));
    }
    plan.faults.push((4000, Fault::EngineLeaves(8)));
}

fn orders(plan: &mut Plan) {
    demand_shift(plan);
    plan.faults.push((500, Fault::Orders(true)));
    plan.faults.push((8000, Fault::EngineRestart(3)));
    plan.faults.push((17_000, Fault::Orders(false)));
}

fn streams(plan: &mut Plan) {
    plan.faults.push((1000, Fault::Streams(true)));
    plan.faults.push((9000, Fault::Streams(false)));
}

fn withdrawal(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(12);
    plan.faults.push((3000, Fault::Withdraw(0)));
}

fn race(plan: &mut Plan) {
    plan.faults.push((2000, Fault::Race));
    plan.faults.push((5000, Fault::Race));
}

fn charges(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(14);
    plan.charges = true;
    plan.service_calls = 30.0;
    plan.faults.push((5000, Fault::Kill(2)));
    plan.faults.push((8000, Fault::Start(2)));
}

fn jobs(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(14);
    plan.jobs = 5.0;
    plan.faults.push((4000, Fault::Kill(3)));
    plan.faults.push((8000, Fault::Start(3)));
}
