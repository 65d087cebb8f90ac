//! Settings of the daemon on a platform, and the placer's books.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmoncroft::protocol::digest::Demand;
use persimmoncroft::serving::adapter::Report;
use persimmoncroft::serving::endpoint::{Endpoint, Tracker, View};
use persimmoncroft::serving::ledger::Ledger;
use persimmoncroft::serving::settings::Settings;
use persimmoncroft::state::catalog::{Engine, Model, Service};
use persimmoncroft::state::record::Name;
use persimmoncroft::state::roster::Entry;

const WHOLE: &str = "[daemon]\nname = d1\nzone = a\ngrace_s = 8\n[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    peers = 127.0.0.1:3\ngossip = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[platform]\nstore = 127.0.0.1:6\n\
    [placement]\nlease_ms = 3000\n";

#[test]
fn whole_settings_are_read() {
    let settings = Settings::parse(WHOLE).unwrap();
    assert_eq!(&*settings.name, "d1");
    assert_eq!(settings.tuning.grace, Duration::from_secs(8));
    assert_eq!(settings.placement_lease, Duration::from_secs(3));
}

#[test]
fn every_mistake_is_named() {
    let text = WHOLE.replace("zone = a\n", "zone = a b\nzones = 3\n");
    let text = text.replace("store = 127.0.0.1:6\n", "");
    let mistakes = Settings::parse(&text).unwrap_err();
    let keys: Vec<&str> = mistakes
        .iter()
        .map(|mistake| mistake.key.as_str())
        .collect();
    assert_eq!(keys, ["store", "zone", "zones"]);
    assert_eq!(mistakes[1].line, 3);
}

fn fleet() -> (View, HashMap<Name, Arc<Service>>) {
    let model = |name: &str| Model {
        name: name.into(),
        megabytes: 30.0,
        load_time: Duration::from_secs(2),
        adapters: vec!["a1".into(), "a2".into()],
        adapter_megabytes: 1.0,
    };
    let models = ["m1", "m2", "m3"].map(|name| (Name::from(name), model(name)));
    let service = Service {
        name: "models".into(),
        connections: 100,
        cold_per_second: 0.0,
        cold_time: Duration::ZERO,
        engine: Some(Engine {
            slots: 64,
            cache_tokens: 100_000,
            tokens_per_event: 5,
            megabytes: 100.0,
            adapter_places: 4,
            loads_per_second: 2.0,
            models: models.into(),
        }),
    };
    let mut view = View::default();
    for id in ["e1", "e2", "e3"] {
        let entry = Entry {
            id: id.into(),
            service: "models".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "a".into(),
            slots: 64,
            draining: false,
            cold: Duration::ZERO,
            born: Some(7),
            models: [("m1".into(), Vec::new())].into(),
        };
        let endpoint = Endpoint {
            entry: Arc::new(entry),
            track: Arc::new(Tracker::default()),
        };
        view.all.insert(id.into(), endpoint.clone());
        view.services
            .entry("models".into())
            .or_default()
            .push(endpoint);
    }
    let services = [("models".into(), Arc::new(service))].into();
    (view, services)
}

fn report(sequence: u64, models: &[&str], busy: bool) -> Report {
    let models = models.iter().map(|model| (Name::from(*model), Vec::new()));
    Report {
        models: models.collect(),
        busy,
        sequence,
        ..Report::default()
    }
}

/// An endpoint starts anew under its identifier.
fn start_anew(view: &mut View, id: &str) {
    let endpoint = view.all.get_mut(id).unwrap();
    let mut entry = (*endpoint.entry).clone();
    entry.born = Some(8);
    endpoint.entry = Arc::new(entry);
}

/// Reports lag: one from before an accepted order does not undo what the books say.
#[test]
fn report_older_than_the_last_order_is_not_taken_over() {
    let (view, services) = fleet();
    let mut ledger = Ledger::default();
    let now = Duration::from_secs(1);
    assert_eq!(ledger.follow(&view, &services, now).len(), 3);
    let e1 = ledger.target(&"e1".into()).unwrap();
    assert!(ledger.read(&e1, report(4, &["m1"], false), now));
    ledger.at(&e1).unwrap().sequence = Some(5);
    assert!(!ledger.read(&e1, report(4, &[], false), now));
    assert!(ledger.accounts["e1"].models.contains_key("m1"));
    assert!(ledger.read(&e1, report(5, &["m1", "m2"], false), now));
}

/// A new holder finds an engine that carries out an order of the one before: `LIMIT` on trouble-2 of lakeshore-lab.
#[test]
fn engine_that_carries_out_an_unknown_order_gets_none() {
    let (view, services) = fleet();
    let mut ledger = Ledger::default();
    let now = Duration::from_secs(1);
    ledger.follow(&view, &services, now);
    let e1 = ledger.target(&"e1".into()).unwrap();
    assert!(!ledger.read(&e1, report(11, &["m1"], true), now));
    ledger.at(&e1).unwrap().busy = false;
    let stock = ledger.stock(&view, &services["models"], now);
    let engine = stock
        .engines
        .iter()
        .find(|engine| &*engine.id == "e1")
        .unwrap();
    assert!(engine.busy);
    let later = now + Duration::from_secs(1);
    assert!(ledger.follow(&view, &services, later).contains(&e1));
}

#[test]
fn engine_that_started_anew_has_empty_books() {
    let (mut view, services) = fleet();
    let mut ledger = Ledger::default();
    let now = Duration::from_secs(1);
    ledger.follow(&view, &services, now);
    let e1 = ledger.target(&"e1".into()).unwrap();
    ledger.read(&e1, report(9, &["m1", "m2"], false), now);
    start_anew(&mut view, "e1");
    ledger.follow(&view, &services, now);
    assert_eq!(ledger.accounts["e1"].sequence, None);
    assert!(ledger.accounts["e1"].models.is_empty());
}

/// An engine that starts anew under its identifier gets another account: what was begun before does not go on there.
#[test]
fn change_of_an_earlier_start_touches_no_later_one() {
    let (mut view, services) = fleet();
    let mut ledger = Ledger::default();
    let now = Duration::from_secs(1);
    ledger.follow(&view, &services, now);
    let before = ledger.target(&"e1".into()).unwrap();
    ledger.read(&before, report(9, &["m1"], false), now);
    ledger.loading.push(("e1".into(), "m2".into(), true));
    start_anew(&mut view, "e1");
    ledger.follow(&view, &services, now);
    assert!(ledger.at(&before).is_none());
    assert!(ledger.loading.is_empty());
    assert!(ledger.read(&before, report(9, &["m1"], false), now));
    assert!(ledger.accounts["e1"].models.is_empty());

    let after = ledger.target(&"e1".into()).unwrap();
    let late = Report {
        born: Some(7),
        ..report(9, &["m1"], false)
    };
    assert!(!ledger.read(&after, late, now));
    assert_eq!(ledger.accounts["e1"].sequence, None);
}

/// A report that is read while an order is under way would end with the engine free for another: `LIMIT` on
/// hunt-ea7a-7 of glockenhof-grown, where orders had begun before a new holder read all reports again.
#[test]
fn engine_under_order_is_neither_read_nor_closed() {
    let (mut view, services) = fleet();
    let mut ledger = Ledger::default();
    let now = Duration::from_secs(1);
    ledger.follow(&view, &services, now);
    for id in ["e1", "e2", "e3"] {
        let target = ledger.target(&id.into()).unwrap();
        ledger.read(&target, report(4, &["m1"], false), now);
        ledger.at(&target).unwrap().busy = false;
    }
    let e1 = ledger.target(&"e1".into()).unwrap();
    ledger.at(&e1).unwrap().busy = true;
    ledger.confirm();
    let unread = ledger.follow(&view, &services, now);
    assert!(unread.len() == 2 && !unread.contains(&e1));

    // Its entry is missing for a moment.
    let endpoint = view.all.remove("e1").unwrap();
    ledger.follow(&view, &services, now);
    assert!(ledger.at(&e1).is_some_and(|account| account.busy));
    ledger.at(&e1).unwrap().busy = false;
    ledger.follow(&view, &services, now);
    assert!(ledger.at(&e1).is_none());
    view.all.insert("e1".into(), endpoint);
}

/// An adapter that waits for its last requests still takes its place: `LIMIT` on trouble-1 of glockenhof-grown.
#[test]
fn adapter_that_waits_to_leave_takes_its_place_until_a_report_lacks_it() {
    let (view, services) = fleet();
    let mut ledger = Ledger::default();
    let now = Duration::from_secs(1);
    ledger.follow(&view, &services, now);
    let e1 = ledger.target(&"e1".into()).unwrap();
    let with = |sequence, adapters: &[&str]| Report {
        models: [(
            "m1".into(),
            adapters.iter().map(|it| Name::from(*it)).collect(),
        )]
        .into(),
        ..report(sequence, &[], false)
    };
    ledger.read(&e1, with(4, &["a1", "a2"]), now);
    let account = ledger.at(&e1).unwrap();
    account.busy = false;
    account.sequence = Some(5);
    account.leave(&"m1".into(), &"a1".into());
    let places = |ledger: &mut Ledger| {
        let stock = ledger.stock(&view, &services["models"], now);
        let engine = stock.engines.iter().find(|engine| &*engine.id == "e1");
        let engine = engine.unwrap();
        let held: usize = engine.models.values().map(|adapters| adapters.len()).sum();
        (engine.places - held, engine.megabytes)
    };
    assert_eq!(places(&mut ledger), (2, 99.0));
    let holding = |ledger: &Ledger| ledger.holding(&"e1".into()).unwrap().models["m1"].clone();
    assert_eq!(holding(&ledger), ["a2".into()]);

    // A report from before the order, and one that still shows it.
    assert!(!ledger.read(&e1, with(4, &["a1", "a2"]), now));
    assert!(ledger.read(&e1, with(5, &["a1", "a2"]), now));
    assert_eq!(places(&mut ledger), (2, 99.0));
    assert_eq!(holding(&ledger), ["a2".into()]);
    assert!(ledger.read(&e1, with(5, &["a2"]), now));
    assert_eq!(places(&mut ledger), (3, 100.0));
}

/// As many prompt as generated tokens by model.
fn learn(ledger: &mut Ledger, tokens: [(&str, u64); 2], now: Duration) {
    let tokens = tokens.map(|(model, count)| (model.into(), (count, count)));
    let demand = Demand {
        tokens: tokens.into(),
        adapters: Vec::new(),
    };
    ledger.learn(&demand, now);
}

/// Steady demand in uneven portions is no ramp; a model that takes over the traffic is one.
#[test]
fn ramps_are_told_from_noise() {
    let (view, services) = fleet();
    let mut ledger = Ledger::default();
    ledger.follow(&view, &services, Duration::ZERO);
    let mut most: f64 = 0.0;
    for step in 0..100_u64 {
        let now = Duration::from_millis(step * 400);
        let portion = if step % 3 == 0 { 6000 } else { 3000 };
        let tokens = [("m1", portion), ("m2", 4000)];
        learn(&mut ledger, tokens, now);
        if step > 40 {
            let stock = ledger.stock(&view, &services["models"], now);
            most = most.max(stock.needs["m1"].load);
        }
    }
    let mean = 4000.0 / 0.4 / 38_000.0;
    assert!(most < mean * 1.3, "{most} for a mean of {mean}");
    let mut rising = 0.0;
    for step in 0..8_u64 {
        let now = Duration::from_millis(40_000 + step * 400);
        let tokens = [("m3", 2000 * step), ("m2", 4000)];
        learn(&mut ledger, tokens, now);
        rising = ledger.stock(&view, &services["models"], now).needs["m3"].load;
    }
    let last = 2000.0 * 7.0 / 0.4 / 38_000.0;
    assert!(rising > last * 0.8, "{rising} of {last}");
}
