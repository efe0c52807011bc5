/**
At most once, counted at the fake backend server over thousands of seeded runs.
*/
import test from 'ava';
import * as fastCheck from 'fast-check';
import {type Behaviour, playRun} from './fake-fleet.ts';

const RUNS = 6000;
const SEED = 20_261_202;

// Symptom: a booking is made twice, or a caller told `not-run` finds it made.
// Sequence: claims, answers and settlements are lost, repeated and late; callers send again through other hosts; hosts die
// between claim and send or between send and answer; the cell's leader changes; hosts hold answers past the retention.
// Cause: a send without a claim that is valid at that moment, or a record that ended early.
test('a key runs at most once and every outcome is truthful', t => {
	let runs = 0;
	let told = 0;
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 1, max: 2_000_000_000}), seed => {
		const seen = playRun(seed, 'claiming');
		t.is(seen.doubled, 0, `seed ${seed}`);
		for (const [attempt, count] of seen.runsByAttempt) {
			t.is(count, 1, `seed ${seed}: ${attempt}`);
		}

		for (const {attempt, key, outcome, body} of seen.told) {
			told++;
			const ran = seen.runsByAttempt.get(attempt) ?? 0;
			t.false(outcome === 'not-run' && ran > 0, `seed ${seed}: ${attempt} was told not-run`);
			t.false(outcome === 'ran' && !seen.runsByKey.has(key), `seed ${seed}: ${attempt} was told ran`);
			t.true(body === undefined || body.startsWith(`answer to ${key} `), `seed ${seed}`);
		}

		runs += seen.runsByKey.values().reduce((sum, count) => sum + count, 0);
	}), {seed: SEED, numRuns: RUNS});
	t.log(`seed ${SEED}: ${RUNS} runs, ${runs} executions, ${told} outcomes told`);
	t.true(runs > RUNS);
});

const BEHAVIOURS: ReadonlyArray<{readonly behaviour: Behaviour; readonly isSafe: boolean}> = [
	{behaviour: 'claiming', isSafe: true},
	{behaviour: 'unbounded', isSafe: false},
	{behaviour: 'naive', isSafe: false},
];

// Symptom: two executions of one key within its retention.
// Sequence: as above; the naive host sends without a claim, the unbounded one uses a claim whenever its answer comes.
// Cause: shown by difference, so that the runs above are known to reach the faults that the claims prevent.
for (const {behaviour, isSafe} of BEHAVIOURS) {
	test(`runs within the retention, hosts ${behaviour}`, t => {
		let doubled = 0;
		for (let seed = 1; seed <= RUNS / 4; seed++) {
			doubled += playRun(seed, behaviour).doubled;
		}

		t.log(`${RUNS / 4} runs, ${behaviour}: ${doubled} executions beyond the first of a key's record`);
		t.is(doubled === 0, isSafe);
	});
}
