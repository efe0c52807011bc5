/**
Tests of snapshots and commands.
*/
import test from 'ava';
import * as core from '../../index.ts';

test('an update tells its listeners which parts changed, and none when nothing did', t => {
	const store = core.createSnapshotStore({hosts: 1, services: 2});
	const seen: string[][] = [];
	const teardown = store.registerUpdateListener((_current, _previous, dirty) => {
		seen.push([...dirty]);
	});
	store.update(state => ({hosts: state.hosts + 1}));
	store.update(state => ({services: state.services}));
	teardown();
	store.update(() => ({services: 9}));
	t.deepEqual(seen, [['hosts']]);
	t.deepEqual(store.read(state => state), {hosts: 2, services: 9});
});

test('a command goes to the handlers in order of priority until one takes it', t => {
	const registry = core.createCommandRegistry<{restart: string}>();
	const calls: string[] = [];
	registry.registerCommand('restart', () => {
		calls.push('low');
		return true;
	}, 'low');
	const teardown = registry.registerCommand('restart', payload => {
		calls.push(`high ${payload}`);
		return false;
	}, 'high');
	t.true(registry.dispatchCommand('restart', 'now'));
	teardown();
	t.true(registry.dispatchCommand('restart', 'now'));
	t.deepEqual(calls, ['high now', 'low', 'low']);
});

const ADDRESSES = [
	{address: {ip: '127.0.0.1', port: 80}, text: '127.0.0.1:80'},
	{address: {ip: '::1', port: 80}, text: '[::1]:80'},
];

for (const {address, text} of ADDRESSES) {
	test(`the address ${text} is written with its port`, t => {
		t.is(core.formatAddress(address), text);
	});
}
