import test from 'ava';
import type * as peer from 'wagtailroute-peer';
import * as results from 'ts-results-es';
import {checkPeer} from '../../checked-peer.ts';
import {ANSWER_SCHEMAS, METHOD_SCHEMAS} from '../../method-schemas.ts';

const ADDRESS = {ip: '127.0.0.1', port: 9};
const CALL_MILLISECONDS = 1;
const MALFORMED = [null, 'x', {kind: 'x'}, [null], {failure: {kind: 'x', message: ''}}, {services: [null]}, {kind: 'tables', tables: [{}]}];

function createPeer(answer: unknown): peer.Peer {
	return {
		call: async () => results.Ok(answer),
		notify: () => undefined,
		sendDatagram: () => true,
		registerMethod: () => () => undefined,
		registerDatagramHandler: () => () => undefined,
		close: async () => undefined,
	};
}

for (const method of ANSWER_SCHEMAS.keys()) {
	// Symptom: a host ends by an unhandled rejection, or answers a backend server with no status.
	// Sequence: it asks a host that is faulty or of another version, whose answer has another shape.
	// Cause: the answer was used as it came.
	test(`${method}: a malformed answer is a failure of the call`, async t => {
		for (const malformed of MALFORMED) {
			const refused: string[] = [];
			const checked = checkPeer(createPeer(malformed), refusal => {
				refused.push(refusal.method);
			});
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			const answer = await checked.call(ADDRESS, method, {}, CALL_MILLISECONDS);
			const isPossible = ANSWER_SCHEMAS.get(method)!.safeParse(malformed).success;
			t.is(answer.isOk(), isPossible, JSON.stringify(malformed));
			t.is(refused.length, isPossible ? 0 : 1);
		}
	});
}

test('every method that answers has a shape for its parameters', t => {
	t.deepEqual(ANSWER_SCHEMAS.keys().filter(method => !METHOD_SCHEMAS.has(method)).toArray(), []);
});

test('a method without a shape can not be registered', t => {
	const checked = checkPeer(createPeer(undefined), () => undefined);
	t.throws(() => checked.registerMethod('unheard-of', () => undefined), {message: /unheard-of/v});
});
