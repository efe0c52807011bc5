/**
A host that stops while callers keep their connections.
*/
import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {openLocalFleet, waitUntil} from '../../in-process.ts';

const ENTRY = {
	name: 'archive',
	owner: 'team',
	routes: [{pathPrefix: '/', class: 'read'}],
	limits: {concurrency: 100, timeoutMilliseconds: 20_000},
};

registerCompletionHandler(() => {
	// eslint-disable-next-line unicorn/no-process-exit -- The completion handler of ava is the place for it.
	process.exit();
});

test('a host stops once its last answer is out, though the caller keeps the connection', async t => {
	// Symptom: a host that is told to stop goes on running for up to an hour, with its port closed. Sequence: an answer that
	// began before the drain ends after the port was closed, and its caller keeps the connection. Cause: Node closes idle
	// connections once, at the close; one that falls idle later is waited for.
	t.timeout(30_000, 'the host does not stop');
	const fleet = await openLocalFleet([{id: 'host', roles: ['entry', 'control']}], ENTRY, 1);
	t.teardown(async () => fleet.close());
	const [host] = fleet.hosts;
	const [upstream] = fleet.standins;
	upstream!.behave({kind: 'slow', delayMilliseconds: 2000});
	const slow = fleet.send(host!, {path: '/x'});
	await waitUntil(async () => upstream!.counters().inFlight === 1);
	await Promise.all([slow, host!.stop()]);
	const answer = await slow;
	t.deepEqual([answer.status, answer.outcome], [200, 'ran']);
});
