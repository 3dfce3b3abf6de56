//! What the generator itself costs, without sockets: laying a schedule, carrying a request through, keeping records.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use load::driver::Outcomes;
use load::generator::{End, Generator, Order, Setup, write_request};
use load::report;
use load::scenario::Scenario;
use load::schedule::Schedule;
use load::summary::Summary;

const REQUESTS: u64 = 50_000;

fn setup() -> Arc<Setup> {
    let scenario = Scenario::read(r#"{"seconds":1,"arrivals":[{"shape":"poisson","rate":50000}]}"#)
        .expect("a scenario");
    let schedule = Schedule::lay(&scenario, 1, 2);
    Arc::new(Setup {
        scenario,
        schedule,
        targets: 2,
        seed: 1,
    })
}

/// Every request served a millisecond after it was sent.
fn carry(setup: &Arc<Setup>) -> Outcomes {
    let mut clients = Generator::new(setup.clone(), 0, 1);
    let mut out = Vec::new();
    while let Some(at) = clients.next() {
        while let Some(order) = clients.poll(at) {
            if let Order::Send(token, sending) = order {
                out.clear();
                write_request(&mut out, setup, &sending, sending.deadline - at);
                clients.written(token, at);
                clients.ended(
                    token,
                    at + 1_000,
                    End::Answered {
                        status: 200,
                        retry_after: None,
                    },
                );
            }
        }
    }
    Outcomes {
        tries: clients.finish(2_000_000),
        ..Outcomes::default()
    }
}

fn benches(c: &mut Criterion) {
    let setup = setup();
    let outcomes = carry(&setup);
    let summary = Summary::of(&setup, &outcomes);
    let mut group = c.benchmark_group("50,000 requests");
    group
        .throughput(Throughput::Elements(REQUESTS))
        .sample_size(20);
    group.bench_function("lay the schedule", |b| {
        b.iter(|| Schedule::lay(black_box(&setup.scenario), 1, 2))
    });
    group.bench_function("carry through", |b| b.iter(|| carry(&setup)));
    group.bench_function("sum up", |b| {
        b.iter(|| Summary::of(&setup, black_box(&outcomes)))
    });
    group.bench_function("write the report", |b| {
        let folder = || tempfile::tempdir().expect("a folder");
        let write = |folder: tempfile::TempDir| {
            report::write(folder.path(), &setup, &outcomes.tries, &summary)
        };
        b.iter_batched(folder, write, BatchSize::PerIteration);
    });
    group.finish();
}

criterion_group!(generator, benches);
criterion_main!(generator);
