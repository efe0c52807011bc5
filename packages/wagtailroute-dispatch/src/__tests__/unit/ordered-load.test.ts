/**
Replays of named loads, with queued requests in the order of arrival, by priority, and by value per unit of work. A refused caller returns after the
delay that it was told, while its deadline allows.
*/
import test from 'ava';
import {
	describe,
	getUse,
	ORDERS,
	OVERLOADS,
	replay,
	sum,
} from './replay.ts';

for (const load of OVERLOADS) {
	test(load.name, t => {
		// A replay takes up to 2 s on a busy machine.
		t.timeout(60_000);
		// Guards against overload in which chance decides who is refused: in the order of arrival, the kind with the shortest objective was refused most
		// often, whatever its priority, and one organisation's flood took over half of the slots.
		for (const [order, settings] of Object.entries(ORDERS)) {
			const outcomes = replay(load, {settings, seed: 1});
			t.log(order, `slots used ${getUse(outcomes).toFixed(3)}`, describe(outcomes));
		}

		const outcomes = replay(load, {settings: ORDERS.priority, seed: 2});
		// The order must not leave slots unused that the order of arrival uses.
		t.true(getUse(outcomes) >= getUse(replay(load, {settings: ORDERS.arrival, seed: 2})) - 0.03);
		const served = Object.values(outcomes).map(outcome => outcome.served / outcome.requests);
		const total = sum(outcomes, 'served') / sum(outcomes, 'requests');
		for (const [index, part] of served.entries()) {
			t.true(part >= total / 3, describe(outcomes));
			t.true(part >= (served[index + 1] ?? 0) - 0.05, describe(outcomes));
		}

		for (const [kind, least] of Object.entries(load.inTime)) {
			t.true(outcomes[kind]!.inTime / outcomes[kind]!.requests >= least, describe(outcomes));
		}
	});
}
