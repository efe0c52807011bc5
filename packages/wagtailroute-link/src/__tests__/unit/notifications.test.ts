/**
Tests of notifications that go to many hosts.
*/
import test from 'ava';
import {encodeNotification} from '../../notifications.ts';

test('a notification is written once for all hosts in a row', t => {
	let count = 0;
	const parameters = {
		get hosts() {
			count++;
			return 3;
		},
	};
	const lines = ['list', 'list', 'list'].map(method => encodeNotification(method, parameters));
	t.is(count, 1);
	t.deepEqual(new Set(lines), new Set(['{"jsonrpc":"2.0","method":"list","params":{"hosts":3}}']));
});

test('what has changed meanwhile is written anew', async t => {
	// Guards against hosts that are told of an older state, since an object is used again.
	const parameters = {hosts: 3};
	const before = encodeNotification('list', parameters);
	parameters.hosts = 4;
	await Promise.resolve();
	const after = encodeNotification('list', parameters);
	t.regex(before, /"hosts":3/v);
	t.regex(after, /"hosts":4/v);
	t.not(encodeNotification('other', parameters), after);
});
