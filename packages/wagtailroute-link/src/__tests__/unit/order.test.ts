/**
Tests of the order in which a busy process handles messages. They keep their process busy, so they have one of their own.
*/
import test from 'ava';
import * as link from '../../index.ts';
import {
	dial,
	LOOPBACK,
	now,
	waitUntil,
} from './fixture.ts';

const ORDINARY_MESSAGES = 400;
const BUSY_MILLISECONDS = 1;

function keepBusy(milliseconds: number): void {
	const until = now() + milliseconds;
	while (now() < until) {
		// A handler that computes.
	}
}

const CASES = [
	{name: 'on its own link', isOwnLink: true},
	{name: 'on the link that the others came over', isOwnLink: false},
] as const;

for (const {name, isOwnLink} of CASES) {
	test(`an urgent call ${name} is answered before ordinary messages that came earlier`, async t => {
		// Guards against a group of replicas that elects nobody, and reads that nobody answers, while hosts that start send more than a process can handle.
		let handled = 0;
		const server = await link.openLinkServer({
			address: LOOPBACK,
			methods: new Map<string, link.LinkMethod>([['work', () => {
				handled++;
				keepBusy(BUSY_MILLISECONDS);
			}], ['vote', () => handled]]),
			order: {urgentMethods: new Set(['vote']), queueTimeLimits: new Map(), onDropped: () => undefined},
			now,
			onClose: () => undefined,
			onDefect: () => undefined,
		});
		t.teardown(server.close);
		const [ordinary, other] = [await dial(t, server), await dial(t, server)];
		for (let message = 0; message < ORDINARY_MESSAGES; message++) {
			ordinary.notify('work', {message});
		}

		const answer = await (isOwnLink ? other : ordinary).call('vote', {}, 60_000);
		t.true(answer.unwrap() as number < ORDINARY_MESSAGES / 4, `${answer.unwrap() as number} were handled before`);
		await waitUntil(() => handled === ORDINARY_MESSAGES);
	});
}

test('a call that has waited for longer than its caller does is dropped, the others are handled', async t => {
	// Guards against a process that spends its time on calls that nobody waits for any more, so that it is late for all that come after.
	const handled: string[] = [];
	let dropped = 0;
	const server = await link.openLinkServer({
		address: LOOPBACK,
		methods: new Map<string, link.LinkMethod>(['ask', 'end'].map(method => [method, () => {
			handled.push(method);
			keepBusy(BUSY_MILLISECONDS);
		}])),
		order: {
			urgentMethods: new Set(), queueTimeLimits: new Map([['ask', 50]]), onDropped() {
				dropped++;
			},
		},
		now,
		onClose: () => undefined,
		onDefect: () => undefined,
	});
	t.teardown(server.close);
	const dialed = await dial(t, server);
	for (let message = 0; message < ORDINARY_MESSAGES; message++) {
		dialed.notify(message % 2 === 0 ? 'ask' : 'end', {message});
	}

	await waitUntil(() => handled.length + dropped === ORDINARY_MESSAGES);
	t.is(handled.filter(method => method === 'end').length, ORDINARY_MESSAGES / 2);
	t.true(dropped > ORDINARY_MESSAGES / 4, `${dropped} were dropped`);
});
