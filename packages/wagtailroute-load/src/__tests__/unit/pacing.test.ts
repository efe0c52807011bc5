/**
Tests of open-loop pacing under a simulated clock.
*/
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import * as pacing from '../../pacing.ts';

/**
A clock that goes on by waiting, and answers that come after a time of it.
*/
function createWorld(): {clock: pacing.Clock; answerAfter: (milliseconds: number) => Promise<void>} {
	let now = 0;
	const due: Array<{readonly at: number; readonly resolve: () => void}> = [];
	return {
		clock: {
			now: () => now,
			async wait(milliseconds) {
				due.sort((left, right) => left.at - right.at);
				const [first] = due;
				if (first && first.at <= now + milliseconds) {
					due.shift();
					now = Math.max(now, first.at);
					first.resolve();
				} else {
					now += milliseconds;
				}

				// Lets what was just answered go on before the loop does.
				await new Promise<void>(resolve => {
					setImmediate(resolve);
				});
			},
			wake() {
				// The wait above ends at each answer by itself.
			},
		},
		async answerAfter(milliseconds) {
			await new Promise<void>(resolve => {
				due.push({at: now + milliseconds, resolve});
			});
		},
	};
}

async function run(settings: {requestsPerSecond: number; concurrency: number; workMilliseconds: number}) {
	const world = createWorld();
	const latencies: number[] = [];
	const pace = await pacing.pace({
		...settings,
		clock: world.clock,
		random: utils.createRandom(1),
		seconds: 10,
		graceMilliseconds: 1000,
		async send(intendedAt) {
			await world.answerAfter(settings.workMilliseconds);
			latencies.push(world.clock.now() - intendedAt);
		},
	});
	return {...pace, latencies, seconds: world.clock.now() / 1000};
}

test('arrivals keep their rate whatever the answers take', async t => {
	const {sent, notSent, latencies} = await run({requestsPerSecond: 50, concurrency: 10_000, workMilliseconds: 3000});
	t.is(notSent, 0);
	t.true(sent > 430 && sent < 570);
	t.true(latencies.every(latency => Math.abs(latency - 3000) < 0.001));
});

test('a request held back is as late as its caller saw it', async t => {
	// Symptom: a server that answers one request at a time looks as fast as an idle one.
	// Sequence: arrivals come faster than the server answers; the generator sends each after the last answer.
	// Cause: latency counted from the sending and not from the intended start (coordinated omission).
	const {sent, notSent, latencies, seconds} = await run({requestsPerSecond: 20, concurrency: 1, workMilliseconds: 100});
	t.true(Math.max(...latencies) > 4000);
	t.true(notSent > 0);
	t.is(sent, latencies.length);
	t.true(seconds < 11.2);
});
