//! Cost of recording attempts by group size, and throughput of the export.

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use usage::export::Exporter;
use usage::ledger::Ledger;
use usage::record::AttemptUsage;

fn usage(customer: u64) -> AttemptUsage {
    AttemptUsage {
        sent_at: 1_800_000_000_000_000,
        customer,
        class: "sign-off".into(),
        plan: "institucion".into(),
        plan_version: 7,
        milli_units: 2_000,
        idempotency_key: Some(format!("{customer:032x}")),
        ..AttemptUsage::default()
    }
}

const ATTEMPTS: u64 = 10_000;

fn record_attempts(folder: &std::path::Path, group: u64, sync: bool) {
    let (mut ledger, _) = Ledger::open(folder, "n0").expect("ledger opens");
    for customer in 0..ATTEMPTS {
        ledger.record(usage(customer)).expect("attempt is recorded");
        if customer % group == group - 1 {
            ledger.write().expect("group is written");
            ledger.mark_sent();
            if sync {
                ledger.sync().expect("ledger is synced");
            }
        }
    }
    ledger.sync().expect("ledger is synced");
}

fn benches(c: &mut Criterion) {
    let folder = || tempfile::tempdir().expect("temporary folder");
    let mut group = c.benchmark_group("10,000 tries");
    group
        .throughput(Throughput::Elements(ATTEMPTS))
        .sample_size(10);
    for size in [1, 10, 100, 1_000] {
        group.bench_function(BenchmarkId::new("booked in groups of", size), |b| {
            b.iter_batched(
                folder,
                |f| record_attempts(f.path(), size, false),
                BatchSize::PerIteration,
            );
        });
    }
    for size in [100, 1_000] {
        group.bench_function(
            BenchmarkId::new("brought to the disk in groups of", size),
            |b| {
                b.iter_batched(
                    folder,
                    |f| record_attempts(f.path(), size, true),
                    BatchSize::PerIteration,
                );
            },
        );
    }
    let filled_ledger = || {
        let folder = folder();
        record_attempts(folder.path(), 1_000, false);
        folder
    };
    group.bench_function("exported", |b| {
        let export = |folder: tempfile::TempDir| {
            let mut export = Exporter::open(folder.path()).expect("export opens");
            let batch = export
                .write_batch(&folder.path().join("out"), usize::MAX, &mut |_| true)
                .expect("batch is written");
            black_box(batch);
        };
        b.iter_batched(filled_ledger, export, BatchSize::PerIteration);
    });
    group.finish();
}

criterion_group!(ledger, benches);
criterion_main!(ledger);
