import t from 'tap';
import { formatHistogram } from '#metrics/FormatHistogram.js';
import { formatPrometheus } from '#metrics/FormatPrometheus.js';
import { mergeSnapshots } from '#metrics/MergeSnapshots.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import { summarizeSeries } from '#metrics/SummarizeSeries.js';

t.test('percentiles are within 1 %', async (t) => {
  const recorder = new MetricsRecorder();
  for (let ms = 1; ms <= 1000; ms += 1) recorder.recordPhase('a', 'c', 'whole', ms * 1000);
  const whole = summarizeSeries((await recorder.snapshot()).series[0]!).phases.whole!;
  t.equal(whole.count, 1000);
  t.ok(Math.abs(whole.p99Ms - 990) <= 9.9);
  t.ok(Math.abs(whole.maxMs - 1000) <= 10);
});

t.test('out-of-range durations are clamped', async (t) => {
  const recorder = new MetricsRecorder();
  for (const micros of [-5, 0, 0.4, 1e12]) recorder.recordPhase('a', 'c', 'queue', micros);
  const queue = summarizeSeries((await recorder.snapshot()).series[0]!).phases.queue!;
  t.equal(queue.count, 4);
  t.ok(queue.maxMs <= 606_000);
});

t.test('teams above the limit merge into other', async (t) => {
  const recorder = new MetricsRecorder({ teams: 2, classes: 2 });
  for (const team of ['a', 'b', 'a', 'c', 'd']) recorder.countOutcome(team, 'x', 'delivered');
  const counts = (await recorder.snapshot()).series.map((each) => [each.team, each.outcomes.delivered]);
  t.same(counts.sort(), [
    ['c', 1],
    ['d', 1],
    ['other', 3],
  ]);
});

t.test('classes above the limit merge into other', async (t) => {
  const recorder = new MetricsRecorder({ teams: 2, classes: 2 });
  for (const name of ['x', 'y', 'z', 'w']) recorder.countOutcome('a', name, 'late');
  t.same(
    (await recorder.snapshot()).series.map((each) => [each.class, each.outcomes.late]),
    [
      ['x', 1],
      ['y', 1],
      ['other', 2],
    ],
  );
});

t.test('merge keeps every request', async (t) => {
  const recorders = [new MetricsRecorder(), new MetricsRecorder()];
  for (const [index, recorder] of recorders.entries()) {
    recorder.recordPhase('a', 'x', 'whole', 1000 * (index + 1));
    recorder.countOutcome('a', 'x', 'delivered');
    recorder.countOutcome(`only${index}`, 'x', 'refused');
    recorder.count('retries', 2);
    recorder.setGauge('catalogueVersion', 7 + index);
  }
  const merged = mergeSnapshots(await Promise.all(recorders.map((recorder) => recorder.snapshot())), 1);
  const [shared, other] = merged.series;
  t.match(shared, { team: 'a', outcomes: { delivered: 2 } });
  t.match(other, { team: 'other', outcomes: { refused: 2 } });
  t.equal(summarizeSeries(shared!).phases.whole?.count, 2);
  t.same([merged.counters, merged.gauges], [{ retries: 4 }, { catalogueVersion: 8 }]);
});

t.test('histogram without labels has no empty braces', (t) => {
  const recorder = new PhaseRecorder();
  for (const ms of [3, 90]) recorder.record(ms * 1000);
  const text = formatHistogram('delay_seconds', 'Delay.', recorder.buckets());
  t.match(text, 'delay_seconds_bucket{le="0.005"} 1\n');
  t.match(text, '\ndelay_seconds_sum 0.093\ndelay_seconds_count 2\n');
  t.end();
});

t.test('Prometheus buckets are cumulative', (t) => {
  const recorder = new MetricsRecorder();
  for (const ms of [0.5, 3, 8, 90_000]) recorder.recordPhase('a"b', 'x', 'whole', ms * 1000);
  recorder.countOutcome('a"b', 'x', 'delivered');
  recorder.count('storeCalls', 3);
  recorder.setGauge('ownedShards', 9);
  const text = formatPrometheus(recorder.snapshotBuckets());
  const labels = 'team="a\\"b",class="x"';
  t.match(text, `amaranthrouter_requests_total{${labels},outcome="delivered"} 1`);
  t.match(text, `amaranthrouter_phase_seconds_bucket{${labels},phase="whole",le="0.001"} 1`);
  t.match(text, `amaranthrouter_phase_seconds_bucket{${labels},phase="whole",le="0.01"} 3`);
  t.match(text, `amaranthrouter_phase_seconds_bucket{${labels},phase="whole",le="60"} 3`);
  t.match(text, `amaranthrouter_phase_seconds_bucket{${labels},phase="whole",le="+Inf"} 4`);
  t.match(text, 'amaranthrouter_store_calls_total 3');
  t.match(text, 'amaranthrouter_owned_shards 9');
  t.end();
});
