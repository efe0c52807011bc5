/**
Which hosts the records' leader takes for lost.
*/
import test from 'ava';
import type {Member} from '../../context.ts';
import {createLostHostDetector} from '../../lost-hosts.ts';

function createMember(id: string, state: Member['state'], boot: string): Member {
	const address = {ip: '127.0.0.1', port: 1};
	return {
		id, state, boot, failureDomain: 'a', region: 'r', roles: ['entry'], trafficAddress: address, adminAddress: address, peerAddress: address, draining: false,
	};
}

const CASES: ReadonlyArray<{readonly title: string; readonly member?: Member; readonly commands: readonly string[]}> = [
	{title: 'a host that runs is not lost', member: createMember('h', 'alive', 'b1'), commands: []},
	{title: 'nor one that is suspected', member: createMember('h', 'suspect', 'b1'), commands: []},
	{title: 'nor one that the leader has not heard of', commands: []},
	{title: 'a dead host is', member: createMember('h', 'dead', 'b1'), commands: ['lose-host h b1']},
	{title: 'so is the earlier process of a restarted one', member: createMember('h', 'alive', 'b2'), commands: ['lose-host h b1']},
	{title: 'one that left gives its shares back as well', member: createMember('h', 'left', 'b1'), commands: ['lose-host h b1', 'forget-host h']},
];

for (const {title, member, commands} of CASES) {
	test(title, t => {
		const watch = createLostHostDetector();
		const members = new Map(member === undefined ? [] : [[member.id, member]]);
		const found = [1, 2].flatMap(() => watch.findCommands(members, [{host: 'h', bootId: 'b1'}]));
		t.deepEqual(found.map(({name, payload}) => [name, ...Object.values(payload)].join(' ')).toSorted(), commands.toSorted());
	});
}

test('a claim of a new process that came before the news of it is not lost', t => {
	// Symptom: a running request is told as unknown to its resend. Sequence: a host restarts and claims; the leader still
	// knows its earlier process. Cause: one look was enough.
	const watch = createLostHostDetector();
	const holders = [{host: 'h', bootId: 'b2'}];
	t.deepEqual(watch.findCommands(new Map([['h', createMember('h', 'alive', 'b1')]]), holders), []);
	t.deepEqual(watch.findCommands(new Map([['h', createMember('h', 'alive', 'b2')]]), holders), []);
});

test('a host that was forgotten has left', t => {
	const watch = createLostHostDetector();
	t.deepEqual(watch.findCommands(new Map([['h', createMember('h', 'dead', 'b1')]]), []), []);
	t.deepEqual(watch.findCommands(new Map(), []).map(({name}) => name), ['forget-host']);
	t.deepEqual(watch.findCommands(new Map(), []), []);
});
