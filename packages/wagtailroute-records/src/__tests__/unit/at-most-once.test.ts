/**
At-most-once execution of keyed requests, counted at a fake backend server over thousands of seeded runs.
*/
import test from 'ava';
import * as fastCheck from 'fast-check';
import {type Behaviour, playRun} from './fake-fleet.ts';

const RUNS = 6000;
const SEED = 20_261_202;

// Guards against a request that runs twice, or that ran although its caller got `not-run`, by a send without a valid claim or
// by a record that expired early. Claims, answers and settlements are lost, repeated and late; callers resend through other
// hosts; hosts crash between claim and send or between send and answer; leaders change; answers arrive after the retention.
test('a key runs at most once and every outcome is truthful', t => {
	let runs = 0;
	let told = 0;
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 1, max: 2_000_000_000}), seed => {
		const observation = playRun(seed, 'claiming');
		t.is(observation.duplicateRuns, 0, `seed ${seed}`);
		for (const [attempt, count] of observation.runsByAttempt) {
			t.is(count, 1, `seed ${seed}: ${attempt}`);
		}

		for (const {attempt, key, outcome, body} of observation.told) {
			told++;
			const ran = observation.runsByAttempt.get(attempt) ?? 0;
			t.false(outcome === 'not-run' && ran > 0, `seed ${seed}: ${attempt} got not-run although it ran`);
			t.false(outcome === 'ran' && !observation.runsByKey.has(key), `seed ${seed}: ${attempt} got ran although its key did not run`);
			t.true(body === undefined || body.startsWith(`answer to ${key} `), `seed ${seed}`);
		}

		runs += observation.runsByKey.values().reduce((sum, count) => sum + count, 0);
	}), {seed: SEED, numRuns: RUNS});
	t.log(`seed ${SEED}: ${RUNS} runs, ${runs} executions, ${told} outcomes told`);
	t.true(runs > RUNS);
});

const BEHAVIOURS: ReadonlyArray<{readonly behaviour: Behaviour; readonly isSafe: boolean}> = [
	{behaviour: 'claiming', isSafe: true},
	{behaviour: 'unbounded', isSafe: false},
	{behaviour: 'naive', isSafe: false},
];

// Shows that the runs above reach the faults that claims prevent: naive hosts send without a claim, and unbounded hosts use a
// claim after its validity, so both execute keys twice within the retention.
for (const {behaviour, isSafe} of BEHAVIOURS) {
	test(`runs within the retention, hosts ${behaviour}`, t => {
		let duplicateRuns = 0;
		for (let seed = 1; seed <= RUNS / 4; seed++) {
			duplicateRuns += playRun(seed, behaviour).duplicateRuns;
		}

		t.log(`${RUNS / 4} runs, ${behaviour}: ${duplicateRuns} executions beyond the first of a key's record`);
		t.is(duplicateRuns === 0, isSafe);
	});
}
