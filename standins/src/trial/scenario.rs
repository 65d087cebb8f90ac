//! Named scenarios, each a modification of the trial plan.

use std::time::Duration;

use super::plan::{Fault, Plan};

/// A named modification of a plan.
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub description: &'static str,
    /// Applies the scenario to a plan.
    pub apply: fn(&mut Plan),
}

/// All scenarios.
pub const ALL: &[Scenario] = &[
    Scenario {
        name: "steady",
        description: "load below every rate, no fault",
        apply: |_| {},
    },
    Scenario {
        name: "demand-shift",
        description: "the demand for models turns over",
        apply: demand_shift,
    },
    Scenario {
        name: "greedy-workspace",
        description: "one workspace asks for five times its rate",
        apply: greedy_workspace,
    },
    Scenario {
        name: "cold-restart",
        description: "engines turn cold and restart",
        apply: cold_restart,
    },
    Scenario {
        name: "zone-out",
        description: "a zone is taken out and brought back",
        apply: zone_out,
    },
    Scenario {
        name: "zone-cut",
        description: "a zone is cut off from the platform and the others",
        apply: zone_cut,
    },
    Scenario {
        name: "store-outage",
        description: "the store hangs, then refuses",
        apply: store_outage,
    },
    Scenario {
        name: "store-slow-lost-answers",
        description: "the store is slow and loses answers",
        apply: store_slow,
    },
    Scenario {
        name: "daemon-kill",
        description: "daemons are killed and come back",
        apply: daemon_kill,
    },
    Scenario {
        name: "daemon-pause",
        description: "a daemon freezes beyond its lease",
        apply: daemon_pause,
    },
    Scenario {
        name: "rolling-restart",
        description: "every daemon stops and starts; an engine leaves",
        apply: rolling_restart,
    },
    Scenario {
        name: "lost-late-orders",
        description: "orders lost, late, doubled; demand turns over",
        apply: lost_late_orders,
    },
    Scenario {
        name: "broken-streams",
        description: "engines break streams midway",
        apply: broken_streams,
    },
    Scenario {
        name: "key-withdrawal",
        description: "a key is withdrawn during traffic",
        apply: key_withdrawal,
    },
    Scenario {
        name: "operator-race",
        description: "operators race to change one record",
        apply: operator_race,
    },
    Scenario {
        name: "charges",
        description: "charges with lost and late answers, retried elsewhere",
        apply: charges,
    },
    Scenario {
        name: "overnight-jobs",
        description: "deferrable jobs while a daemon dies",
        apply: overnight_jobs,
    },
];

/// Returns the scenario with a name.
pub fn find(name: &str) -> Option<&'static Scenario> {
    ALL.iter().find(|scenario| scenario.name == name)
}

fn demand_shift(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(20);
    plan.demand_shift = Some(6.0);
}

fn greedy_workspace(plan: &mut Plan) {
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
    plan.service_window = Some((3000, 15_000));
}

fn zone_cut(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(18);
    plan.faults.push((3000, Fault::Partition(2, true)));
    plan.faults.push((12_000, Fault::Partition(2, false)));
    plan.service_window = Some((3000, 15_000));
}

fn store_outage(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(18);
    plan.faults.push((3000, Fault::StoreHangs));
    plan.faults.push((8000, Fault::StoreRefuses));
    plan.faults.push((13_000, Fault::StoreRestored));
}

fn store_slow(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(16);
    plan.charges = true;
    plan.faults.push((2000, Fault::StoreSlow));
    plan.faults.push((12_000, Fault::StoreRestored));
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

fn rolling_restart(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(20);
    for daemon in 0..7 {
        plan.faults
            .push((2000 + 2200 * daemon as u64, Fault::Restart(daemon)));
    }
    plan.faults.push((4000, Fault::EngineLeaving(8)));
}

fn lost_late_orders(plan: &mut Plan) {
    demand_shift(plan);
    plan.faults.push((500, Fault::OrderFaults(true)));
    plan.faults.push((8000, Fault::EngineRestart(3)));
    plan.faults.push((17_000, Fault::OrderFaults(false)));
}

fn broken_streams(plan: &mut Plan) {
    plan.faults.push((1000, Fault::StreamFaults(true)));
    plan.faults.push((9000, Fault::StreamFaults(false)));
}

fn key_withdrawal(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(12);
    plan.faults.push((3000, Fault::WithdrawKey(0)));
}

fn operator_race(plan: &mut Plan) {
    plan.faults.push((2000, Fault::OperatorRace));
    plan.faults.push((5000, Fault::OperatorRace));
}

fn charges(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(14);
    plan.charges = true;
    plan.service_calls = 30.0;
    plan.faults.push((5000, Fault::Kill(2)));
    plan.faults.push((8000, Fault::Start(2)));
}

fn overnight_jobs(plan: &mut Plan) {
    plan.seconds = plan.seconds.max(14);
    plan.jobs = 5.0;
    plan.faults.push((4000, Fault::Kill(3)));
    plan.faults.push((8000, Fault::Start(3)));
}
