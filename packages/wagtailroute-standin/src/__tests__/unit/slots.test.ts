/**
Tests of the slots.
*/
import test from 'ava';
import * as constants from '../../constants.ts';
import * as slots from '../../slots.ts';

const NEVER = new AbortController().signal;

const FULL_CASES: ReadonlyArray<{readonly overSlots: slots.OverSlots; readonly queued: number}> = [
	{overSlots: 'shed', queued: 0},
	{overSlots: 'queue', queued: constants.QUEUE_LENGTH},
];

for (const {overSlots, queued} of FULL_CASES) {
	test(`over the slots, ${overSlots} holds back ${queued} requests and refuses the next`, async t => {
		const held = slots.createSlots(2, overSlots);
		t.true(await held.acquire(NEVER));
		t.true(await held.acquire(NEVER));
		const waiting = Array.from({length: queued}, async () => held.acquire(NEVER));
		t.false(await held.acquire(NEVER));
		t.deepEqual(held.getUse(), {held: 2, queued});
		for (let index = 0; index < queued; index++) {
			held.release();
		}

		const later = await Promise.all(waiting);
		t.true(later.every(Boolean));
		t.deepEqual(held.getUse(), {held: 2, queued: 0});
		held.release();
		t.deepEqual(held.getUse(), {held: 1, queued: 0});
	});
}

test('a request whose caller goes away leaves the queue and takes no slot', async t => {
	// Symptom: a stand-in that is idle sheds everything.
	// Sequence: a queued caller goes away; the slot is later given to its request, which nobody releases.
	// Cause: a queue that keeps requests whose caller has gone.
	const held = slots.createSlots(1, 'queue');
	t.true(await held.acquire(NEVER));
	const controller = new AbortController();
	const waiting = held.acquire(controller.signal);
	controller.abort();
	t.false(await waiting);
	held.release();
	t.deepEqual(held.getUse(), {held: 0, queued: 0});
	t.false(await held.acquire(controller.signal));
});
